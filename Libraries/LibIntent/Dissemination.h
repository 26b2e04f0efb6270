//===- LibIntent/Dissemination.h - Distributes the intent to hosts --------===//
///
/// \file
/// Children poll their parents, and parents push changes to the children that
/// polled them. A change therefore reaches the whole tree after one link delay
/// per level, and the next poll recovers from a lost push. A host keeps
/// state only for its few parents and children.
///
/// Each answer carries the age of the newest confirmation by a control quorum:
/// every version accepted before that moment is included. Ages add up from
/// host to host without comparing clocks, because the polling host counts from
/// the time at which it sent the poll. Only the leader of the log gets this
/// confirmation directly, and it can be anywhere in the trees, so a host that
/// is polled by one with a newer confirmation polls that host in turn.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_DISSEMINATION_H
#define LIBINTENT_DISSEMINATION_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <LibIntent/IntentDelta.h>
#include <LibIntent/IntentInForce.h>
#include <LibIntent/IntentRecovery.h>
#include <deque>
#include <map>
#include <vector>

namespace carobhinge {

struct DisseminationOptions {
  /// Candidate parents, preferred first; empty if there is no other host.
  std::vector<HostName> Parents;
  /// The other hosts of this host's failure domain, ascending.
  std::vector<HostName> DomainPeers;
  /// Children beyond this number are redirected to their next candidate.
  std::size_t MaxChildren = 16;
  Duration PollInterval = std::chrono::seconds(1);
  /// A host without a confirmation by the control quorum for half this time
  /// tries other parents. After the whole time, a restarted host relies on
  /// the peers of its failure domain.
  Duration CutOffAfter = std::chrono::seconds(10);
};

struct OutgoingIntentMessage {
  HostName To;
  message::IntentMessage Message;
};

/// Not thread-safe. The caller runs tick() every few tens of milliseconds.
class Dissemination {
public:
  /// \p InForce must outlive the object.
  Dissemination(DisseminationOptions Options, IntentInForce &InForce,
                TimePoint Now);

  std::vector<OutgoingIntentMessage> tick(TimePoint Now);
  std::vector<OutgoingIntentMessage>
  handle(TimePoint Now, const HostName &From,
         const message::IntentMessage &Message);

  /// Called on a control host when it has applied an accepted version.
  std::vector<OutgoingIntentMessage> publish(std::uint64_t Version,
                                             std::string_view Text);
  /// Called on a control host after a linearizable read of the log that began
  /// at \p ReadStartedAt, once every version that the read covers is published.
  void confirmCurrent(TimePoint ReadStartedAt);

  /// Applies an operator's order given to this host; see
  /// IntentInForce::order(). Does nothing and returns no messages if the host
  /// is not ready.
  std::vector<OutgoingIntentMessage> order(bool Held, std::string_view Operator,
                                           std::int64_t StampMs);

  [[nodiscard]] std::size_t childCount() const { return this->Children.size(); }
  /// Empty on a host without parents.
  [[nodiscard]] HostName parent() const;

private:
  struct Child {
    TimePoint PolledAt;
    std::uint64_t Version = 0;
    std::string Digest;
  };
  struct Poll {
    HostName To;
    TimePoint SentAt;
  };

  /// Content that a poll requests in addition to the version.
  enum class PollRequest { Nothing, Text, TextAndPushes };

  void sendPoll(TimePoint Now, const HostName &To, PollRequest Requested);
  void fetch(TimePoint Now, const HostName &From, std::uint64_t Version);
  void send(const HostName &To, message::IntentMessage Message);
  template <typename PollOrAnswer>
  void setControlAge(TimePoint Now, PollOrAnswer &Message) const;
  void pollBack(TimePoint Now, const HostName &From,
                const message::IntentPoll &Poll);
  [[nodiscard]] bool isStale(TimePoint Now) const;
  void pollParent(TimePoint Now);
  void recover(TimePoint Now);
  void selectNextParent();
  void handlePoll(TimePoint Now, const HostName &From,
                  const message::IntentPoll &Poll);
  void handleAnswer(TimePoint Now, const HostName &From,
                    const message::IntentAnswer &Answer);
  void handlePush(TimePoint Now, const HostName &From,
                  const message::IntentPush &Push);
  void registerChild(TimePoint Now, const HostName &From,
                     const message::IntentPoll &Poll);
  /// Returns false if the delta has another base than this host's version.
  bool applyText(const message::IntentText &Text, const HostName &From);
  void receiveHold(const message::DomainHold &Hold, const HostName &From);
  void putInForce(std::uint64_t Version, std::string_view Text,
                  const HostName &From);
  /// Pushes text and hold to all children except \p Except.
  void push(const HostName &Except);
  void pushHold(const HostName &Except);
  [[nodiscard]] message::IntentText textFor(std::uint64_t Version,
                                            std::string_view Digest) const;
  [[nodiscard]] bool isInDomain(const HostName &Host) const;
  std::vector<OutgoingIntentMessage> takePendingSends();

  DisseminationOptions Options;
  IntentInForce &InForce;
  IntentRecovery Recovery;
  TimePoint StartedAt;
  TimePoint NextRoundAt;

  std::size_t ParentIndex = 0;
  TimePoint NextPollAt;
  /// Polls sent to the current parent since it last answered.
  int UnansweredPolls = 0;
  int PollsSinceFirstParent = 0;
  /// The version being fetched from a host that reported it.
  std::uint64_t FetchVersion = 0;
  TimePoint FetchedAt;
  std::uint64_t LastPollNumber = 0;
  /// Unanswered polls by number. Bounded by the recovery window, the
  /// parent and the children.
  std::map<std::uint64_t, Poll> Polls;
  /// At most MaxChildren.
  std::map<HostName, Child> Children;
  /// The newest texts, ascending by version; used as bases for deltas.
  std::deque<VersionedText> RecentTexts;
  std::vector<OutgoingIntentMessage> PendingSends;
};

} // namespace carobhinge

#endif // LIBINTENT_DISSEMINATION_H
