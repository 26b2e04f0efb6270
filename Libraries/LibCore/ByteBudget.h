//===- LibCore/ByteBudget.h - Bytes that a process may hold ---------------===//
///
/// \file
/// Decides what a process keeps of the bytes that others make it hold: requests
/// that are still being read, and answers that are collected. Each of them has
/// a limit of its own; this is the limit of their sum. At a part of it new work
/// is refused; at all of it, what callers lose least by is given up.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_BYTEBUDGET_H
#define LIBCORE_BYTEBUDGET_H

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace carobhinge {

/// Memory limits are given in megabytes, as operators give them.
inline constexpr std::size_t BytesPerMegabyte = 1'000'000;

/// Returns the limit of the budget of a process that may use \p MemoryBytes
/// bytes of memory.
std::size_t byteBudgetLimit(std::size_t MemoryBytes);

/// What a holder has of a caller's work, least worth first.
enum class HeldWork {
  /// A request that has not arrived in full: nothing has run.
  UnreadRequest,
  /// An answer to work that may be repeated.
  RepeatableAnswer,
  /// An answer to work that runs once; without it, its outcome is unknown.
  SingleAnswer,
  /// A whole answer on its way to its caller. It grows no more, and is given up
  /// only if its caller doesn't take it; see expectProgress().
  CompleteAnswer,
  /// A request that has arrived in full and is being handled. It does not grow,
  /// so that it is never given up.
  ArrivedRequest,
};

class ByteBudget {
public:
  using HolderId = std::uint64_t;

  /// \p Limit in bytes.
  explicit ByteBudget(std::size_t Limit) : Limit(Limit) {}

  /// Returns whether new work may begin that will hold \p Bytes bytes, as far
  /// as that is known.
  [[nodiscard]] bool mayAdmit(std::size_t Bytes) const;

  /// Like mayAdmit(), for a request of \p Bytes bytes that has not arrived in
  /// full. Larger requests that have not either, larger answers that their
  /// callers don't take, and long answers that may be repeated, would be given
  /// up for it and take no place from it.
  [[nodiscard]] bool mayAdmitRequest(TimePoint Now, std::size_t Bytes) const;

  HolderId add(HeldWork Work);
  void remove(HolderId Id);

  /// Records that holder \p Id holds \p Work now.
  /// \returns false if it has been removed.
  bool change(HolderId Id, HeldWork Work);

  /// Records that the caller of the complete answer \p Id, which may have been
  /// removed, has taken bytes of it. If that isn't recorded again until
  /// \p Until, the caller doesn't take the answer, which is then worth as
  /// little as a request that hasn't arrived.
  void expectProgress(HolderId Id, TimePoint Until);

  /// Records that holder \p Id, which may have been removed, is about to hold
  /// \p Bytes bytes in total.
  /// \returns the holders that must be given up for that, which may include
  /// \p Id. They are removed.
  std::vector<HolderId> resize(TimePoint Now, HolderId Id, std::size_t Bytes);

  [[nodiscard]] std::size_t heldBytes() const { return this->Held; }
  [[nodiscard]] std::size_t limit() const { return this->Limit; }

private:
  struct Holder {
    HeldWork Work = HeldWork::UnreadRequest;
    std::size_t Bytes = 0;
    /// When the caller of a complete answer must have taken more of it.
    TimePoint ProgressUntil = TimePoint::max();

    /// Returns what the holder is worth to its caller.
    [[nodiscard]] HeldWork worth(TimePoint Now) const;
  };
  /// Returns the holder to give up first. There is one with bytes.
  [[nodiscard]] HolderId chooseLeastUseful(TimePoint Now) const;

  const std::size_t Limit;
  HolderId LastId = 0;
  /// The ids grow, so that a later holder is a newer one.
  std::map<HolderId, Holder> Holders;
  /// The sum of the bytes of all holders; at most Limit.
  std::size_t Held = 0;
};

} // namespace carobhinge

#endif // LIBCORE_BYTEBUDGET_H
