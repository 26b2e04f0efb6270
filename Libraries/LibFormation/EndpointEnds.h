//===- LibFormation/EndpointEnds.h - Lives of endpoints that ended --------===//
///
/// \file
/// The ends that endpoints announced. An announcement names the endpoint, but
/// not which of its lives ends; a later life under the same name is not meant.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_ENDPOINTENDS_H
#define LIBFORMATION_ENDPOINTENDS_H

#include <LibCore/Names.h>
#include <cstdint>
#include <map>
#include <optional>

namespace carobhinge {

class EndpointEnds {
public:
  /// \returns the latest start, in Unix milliseconds, of a life that an
  /// announcement at \p WallMs ends. \p KnownStartMs is the start of the life
  /// that the host knows; nothing if it has never heard of the endpoint.
  [[nodiscard]] static std::int64_t
  endedUntil(std::optional<std::int64_t> KnownStartMs, std::int64_t WallMs);

  /// Records that all lives of \p Id that started until \p StartedUntilMs have
  /// ended.
  void record(const EndpointName &Id, std::int64_t StartedUntilMs);
  /// \returns whether the life of \p Id that started at \p StartedAtMs has
  /// ended.
  [[nodiscard]] bool covers(const EndpointName &Id,
                            std::int64_t StartedAtMs) const;
  [[nodiscard]] std::size_t size() const { return this->StartedUntil.size(); }

private:
  /// By endpoint, in Unix milliseconds.
  std::map<EndpointName, std::int64_t> StartedUntil;
};

} // namespace carobhinge

#endif // LIBFORMATION_ENDPOINTENDS_H
