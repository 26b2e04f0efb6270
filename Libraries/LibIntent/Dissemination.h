//===- LibIntent/Dissemination.h - Bringing the intent to every host ------===//
///
/// \file
/// Children poll their parents and parents push changes to the children that
/// polled them, so a change runs down the tree at the speed of the links and
/// a lost push is made good by the next poll. A host knows its few parents and
/// children only.
///
/// Each answer tells how old the newest word of a control quorum is: "every
/// version accepted before then is included". Ages add up from host to host
/// without any clock being compared: the one who asks counts from when it sent
/// the poll. Only the leader of the log has that word at first hand, wherever
/// in the trees it stands, so a host that is asked by a better informed one
/// asks back.
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
  /// Whom to ask, the best first; empty on a host alone.
  std::vector<HostName> Parents;
  /// The other hosts of the own failure domain, ascending.
  std::vector<HostName> DomainPeers;
  /// Children beyond this are sent on to their next candidate.
  std::size_t MostChildren = 16;
  Duration PollInterval = std::chrono::seconds(1);
  /// After this silence of the control quorum other parents are tried, and a
  /// restarted host falls back on the peers of its failure domain.
  Duration CutOffAfter = std::chrono::seconds(10);
};

/// One message to hand to the wire.
struct IntentSend {
  HostName To;
  message::IntentMessage Message;
};

/// Not thread-safe; the driver ticks it every few tens of milliseconds.
class Dissemination {
public:
  /// \p InForce must outlive the object.
  Dissemination(DisseminationOptions Options, IntentInForce &InForce,
                TimePoint Now);

  std::vector<IntentSend> tick(TimePoint Now);
  std::vector<IntentSend> handle(TimePoint Now, const HostName &From,
                                 const message::IntentMessage &Message);

  /// A control host has applied an accepted version.
  std::vector<IntentSend> publish(std::uint64_t Version, std::string_view Text);
  /// A control host has finished a linearizable read of the log that it began
  /// at \p ReadBegan, and has published all that it had to apply for it.
  void confirmCurrent(TimePoint ReadBegan);

  /// An operator's order on the spot; see IntentInForce::order(). Empty and
  /// without effect if the host is not ready.
  std::vector<IntentSend> order(bool Held, std::string_view Operator,
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

  /// What a poll asks for beyond the version.
  enum class Wants { Nothing, Text, TextAndPushes };

  void sendPoll(TimePoint Now, const HostName &To, Wants Wanted);
  void fetch(TimePoint Now, const HostName &From, std::uint64_t Version);
  void send(const HostName &To, message::IntentMessage Message);
  template <typename PollOrAnswer>
  void setControlAge(TimePoint Now, PollOrAnswer &Message) const;
  void askBack(TimePoint Now, const HostName &From,
               const message::IntentPoll &Poll);
  [[nodiscard]] bool stale(TimePoint Now) const;
  void pollParent(TimePoint Now);
  void recover(TimePoint Now);
  void nextParent();
  void handlePoll(TimePoint Now, const HostName &From,
                  const message::IntentPoll &Poll);
  void handleAnswer(TimePoint Now, const HostName &From,
                    const message::IntentAnswer &Answer);
  void handlePush(TimePoint Now, const HostName &From,
                  const message::IntentPush &Push);
  void adopt(TimePoint Now, const HostName &From,
             const message::IntentPoll &Poll);
  /// True unless the text was made for another base than this host's.
  bool take(const message::IntentText &Text, const HostName &From);
  void takeHold(const message::DomainHold &Hold, const HostName &From);
  void putInForce(std::uint64_t Version, std::string_view Text,
                  const HostName &From);
  /// Tells all children but \p Except.
  void push(const HostName &Except);
  void pushHold(const HostName &Except);
  [[nodiscard]] message::IntentText textFor(std::uint64_t Version,
                                            std::string_view Digest) const;
  [[nodiscard]] bool inDomain(const HostName &Host) const;
  std::vector<IntentSend> takeEffects();

  DisseminationOptions Options;
  IntentInForce &InForce;
  IntentRecovery Recovery;
  TimePoint StartedAt;
  TimePoint NextRound;

  std::size_t ParentIndex = 0;
  TimePoint NextPoll;
  /// Polls to the present parent since it last answered.
  int Unanswered = 0;
  int PollsSinceFirstParent = 0;
  /// The version being fetched from a host that told of it.
  std::uint64_t FetchVersion = 0;
  TimePoint FetchedAt;
  std::uint64_t LastNumber = 0;
  /// Bounded by the recovery's window, the parent and the children.
  std::map<std::uint64_t, Poll> Polls;
  /// At most MostChildren.
  std::map<HostName, Child> Children;
  /// The newest texts, ascending; bases for deltas.
  std::deque<VersionedText> Recent;
  std::vector<IntentSend> Effects;
};

} // namespace carobhinge

#endif // LIBINTENT_DISSEMINATION_H
