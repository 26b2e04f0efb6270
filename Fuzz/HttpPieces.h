//===- Fuzz/HttpPieces.h - Bytes that a fuzzed peer writes in pieces ------===//
///
/// \file
/// Splits an input into the pieces that a peer writes one after the other. The
/// first line of the input is the plan: each of its bytes is the size of a
/// piece in turn, and "!" at its start lets the peer write the last piece again
/// and again. The rest of the input are the bytes.
///
//===----------------------------------------------------------------------===//

#ifndef FUZZ_HTTPPIECES_H
#define FUZZ_HTTPPIECES_H

#include <LibCore/Time.h>
#include <Processes/AllocatedBytes.h>
#include <boost/asio.hpp>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

namespace carobhinge {

inline void require(bool Condition, int Line = __builtin_LINE()) {
  if (Condition)
    return;
  std::cerr << "the check at line " << Line << " failed\n";
  std::abort();
}

class HttpPieces {
public:
  /// What a peer that repeats its last piece writes in all.
  static constexpr std::size_t EndlessBytes = 2 * 1024 * 1024;
  /// All pieces together have no more bytes than this and the input.
  static constexpr std::size_t MaxBytes = EndlessBytes + 32 * 1024;

  HttpPieces(const std::uint8_t *Data, std::size_t Size)
      : Rest(reinterpret_cast<const char *>(Data), Size) {
    std::size_t Line = std::min(this->Rest.find('\n'), this->Rest.size());
    this->Plan = this->Rest.substr(0, Line);
    this->Rest.remove_prefix(std::min(Line + 1, this->Rest.size()));
    this->Repeats = this->Plan.starts_with('!');
    if (this->Repeats)
      this->Plan.remove_prefix(1);
  }

  /// Returns the next piece; empty at the end.
  std::string next() {
    if (this->Rest.empty() && this->Repeats && this->Written < EndlessBytes) {
      // Tiny pieces are written together, for the sake of time.
      this->Repeated = this->Last;
      while (!this->Last.empty() && this->Repeated.size() < 8192)
        this->Repeated += this->Last;
      this->Last = this->Repeated;
    } else {
      this->Last = this->Rest.substr(0, this->nextSize());
      this->Rest.remove_prefix(this->Last.size());
    }
    this->Written += this->Last.size();
    return this->Last;
  }

private:
  std::size_t nextSize() {
    if (this->Plan.empty())
      return this->Rest.size();
    std::size_t Size =
        static_cast<unsigned char>(this->Plan[this->Index % this->Plan.size()]);
    ++this->Index;
    return std::max<std::size_t>(Size, 1);
  }

  std::string_view Rest;
  std::string_view Plan;
  bool Repeats = false;
  std::size_t Index = 0;
  std::size_t Written = 0;
  std::string Last;
  std::string Repeated;
};

/// Runs what is ready until \p Condition holds. It must hold within the time
/// that a busy machine may need for loopback.
template <class Predicate>
void runUntil(boost::asio::io_context &Context, Predicate Condition) {
  TimePoint Limit = monotonicNow() + std::chrono::seconds(5);
  while (!Condition()) {
    require(monotonicNow() < Limit);
    Context.restart();
    Context.run_one_for(std::chrono::milliseconds(10));
  }
}

/// Runs what is ready now.
inline void runReady(boost::asio::io_context &Context) {
  Context.restart();
  while (Context.poll() > 0)
    Context.restart();
}

} // namespace carobhinge

#endif // FUZZ_HTTPPIECES_H
