//===- LibServe/EventSplitter.h - Whole server-sent events only -----------===//
///
/// \file
/// Cuts the bytes of an event stream into whole events, so that a caller never
/// gets half an event, and a broken stream can be resumed behind the last
/// whole one.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_EVENTSPLITTER_H
#define LIBSERVE_EVENTSPLITTER_H

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace carobhinge {

class EventSplitter {
public:
  /// Adds bytes and returns the whole events that they complete, each with the
  /// empty line that ends it. Throws std::length_error if one event exceeds
  /// MaxEventBytes.
  std::string append(std::string_view Bytes);

  /// Whole events returned so far.
  [[nodiscard]] std::uint32_t count() const { return this->Events; }

  /// Forgets a half event whose rest will not come.
  void dropPartial() { this->Partial.clear(); }
  [[nodiscard]] bool hasPartial() const { return !this->Partial.empty(); }

  static constexpr std::size_t MaxEventBytes = 256 * 1024;

private:
  std::string Partial;
  std::uint32_t Events = 0;
};

} // namespace carobhinge

#endif // LIBSERVE_EVENTSPLITTER_H
