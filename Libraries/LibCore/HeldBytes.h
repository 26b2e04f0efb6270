//===- LibCore/HeldBytes.h - A holder's share of the byte budget ----------===//
///
/// \file
/// Lets the servers and calls of a process share one ByteBudget: each holds a
/// HeldBytes while it collects bytes. Safe to use from any thread.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_HELDBYTES_H
#define LIBCORE_HELDBYTES_H

#include <LibCore/ByteBudget.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace carobhinge {

/// The budget of a process, under its own lock. Its holders may outlive it.
class SharedByteBudget {
public:
  /// \p Limit in bytes.
  explicit SharedByteBudget(std::size_t Limit)
      : Shared(std::make_shared<State>(Limit)) {}

  /// See ByteBudget::mayAdmit().
  [[nodiscard]] bool mayAdmit(std::size_t Bytes) const;
  /// See ByteBudget::mayAdmitRequest().
  [[nodiscard]] bool mayAdmitRequest(std::size_t Bytes) const;
  [[nodiscard]] std::size_t heldBytes() const;
  [[nodiscard]] std::size_t limit() const {
    return this->Shared->Budget.limit();
  }
  /// Returns how many holders were given up so far.
  [[nodiscard]] std::size_t givenUp() const;

private:
  friend class HeldBytes;

  struct State {
    explicit State(std::size_t Limit) : Budget(Limit) {}

    std::mutex Lock;
    ByteBudget Budget;
    /// The callbacks of all holders of Budget.
    std::map<ByteBudget::HolderId, std::function<void()>> Callbacks;
    std::size_t GivenUpCount = 0;
  };
  /// Shared with the holders: the end of a process destroys its connections
  /// after the components that serve them.
  std::shared_ptr<State> Shared;
};

/// The bytes of one request or answer, given back on destruction.
class HeldBytes {
public:
  /// \p OnGivenUp is called at most once, on the thread of the holder that
  /// needs the bytes and outside the lock. It must not block, should post the
  /// end of the work to its executor, and may be called while this object is
  /// being destroyed, so that it owns what it uses.
  HeldBytes(const SharedByteBudget &Budget, HeldWork Work,
            std::function<void()> OnGivenUp);
  ~HeldBytes();
  HeldBytes(const HeldBytes &) = delete;
  HeldBytes &operator=(const HeldBytes &) = delete;

  /// Records that this holder is about to hold \p Bytes bytes in total.
  /// \returns false if it has been given up, now or before: it must not keep
  /// them. Its own callback is not called for that.
  [[nodiscard]] bool resize(std::size_t Bytes);
  /// Records that this holder now holds \p Work with the same bytes.
  /// \returns false if it has been given up.
  [[nodiscard]] bool change(HeldWork Work);
  /// Records that the caller of a complete answer has taken bytes of it, and
  /// that it must do so again within \p Time; see ByteBudget.
  void expectProgress(Duration Time);
  /// Calls \p Callback in place of that of the constructor, under the same
  /// conditions.
  /// \returns false if this holder has been given up.
  [[nodiscard]] bool replaceCallback(std::function<void()> Callback);

private:
  const std::shared_ptr<SharedByteBudget::State> Shared;
  ByteBudget::HolderId Id;
};

} // namespace carobhinge

#endif // LIBCORE_HELDBYTES_H
