//===- LibRouting/EndpointHoldOffs.h - Endpoints that want no requests ----===//
///
/// \file
/// An endpoint that turns a request away may ask the host that sent it for a
/// pause, and one that is leaving says so in its answers. This class knows for
/// one host which endpoints must not get a request now. It is not told about
/// requests that are in progress: they go on to their end.
///
/// After a pause the endpoint gets a single request. Only its answer shows that
/// the endpoint takes requests again; until then the others stay away, so that
/// an endpoint that asked all hosts for a pause does not get a burst.
///
/// Uses no clock and no random numbers of its own.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ENDPOINTHOLDOFFS_H
#define LIBROUTING_ENDPOINTHOLDOFFS_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace carobhinge {

struct HoldOffOptions {
  /// A pause is made longer by up to this fraction of it and at most by
  /// MaxSpread, so that hosts that were asked together return one by one.
  double Spread = 0.25;
  Duration MaxSpread = std::chrono::seconds(1);
  /// The first request after a pause may go unanswered; another one is sent
  /// after this time.
  Duration TrialTime = std::chrono::seconds(1);
  /// How long an endpoint that is no longer listed is remembered.
  Duration UnlistedTime = std::chrono::minutes(2);
};

class EndpointHoldOffs {
public:
  /// One life of an endpoint. Another one knows nothing of what this one asked
  /// for.
  struct Endpoint {
    EndpointName Name = {};
    /// Grows with each start. 0 if it is not known; it then counts as the same
    /// life as any other.
    Incarnation Number = 0;
  };

  explicit EndpointHoldOffs(HoldOffOptions Options = {}) : Options(Options) {}

  /// An answer of \p From asked for a pause of \p Length, more than 0, from \p
  /// Now on. A shorter pause does not end a longer one. \p Random is uniform in
  /// [0, 1). \returns the time at which the pause ends for this host.
  TimePoint recordPause(TimePoint Now, const Endpoint &From, Duration Length,
                        double Random);
  /// An answer of \p From said that it leaves. \returns whether that is new.
  bool recordLeaving(TimePoint Now, const Endpoint &From);

  /// \returns whether a request may be written to \p To now. Unlike
  /// mayReceive(), true for the first request after a pause.
  [[nodiscard]] bool mayWrite(TimePoint Now, const Endpoint &To) const;
  /// \returns whether \p To may be chosen for a request now.
  [[nodiscard]] bool mayReceive(TimePoint Now, const Endpoint &To) const;
  /// \returns when \p To may be chosen again; nothing if it asked for no pause.
  [[nodiscard]] std::optional<TimePoint> pauseEnd(const Endpoint &Of) const;
  [[nodiscard]] bool isLeaving(const Endpoint &Each) const;

  /// \p To was chosen for a request.
  void recordSent(TimePoint Now, const Endpoint &To);
  /// \p From answered a request that was sent at \p SentAt, and did not turn it
  /// away.
  void recordServed(const Endpoint &From, TimePoint SentAt);

  /// Forgets endpoints that have not been listed for UnlistedTime. To be called
  /// now and then.
  void
  removeUnlisted(TimePoint Now,
                 const std::function<bool(const EndpointName &)> &IsListed);
  [[nodiscard]] std::size_t size() const { return this->Entries.size(); }

private:
  struct Entry {
    Incarnation Number = 0;
    bool Leaving = false;
    std::optional<TimePoint> Until = {};
    /// When the first request after Until was sent.
    std::optional<TimePoint> TrialSentAt = {};
    TimePoint ListedAt = {};
  };

  /// The entry of this life of the endpoint, or null.
  [[nodiscard]] const Entry *find(const Endpoint &Each) const;
  /// The entry of this life, which replaces that of an earlier one; null if a
  /// later one is known.
  Entry *makeEntry(TimePoint Now, const Endpoint &Each);

  HoldOffOptions Options;
  /// At most one life of an endpoint is known.
  std::map<EndpointName, Entry> Entries;
};

} // namespace carobhinge

#endif // LIBROUTING_ENDPOINTHOLDOFFS_H
