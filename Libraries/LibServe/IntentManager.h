//===- LibServe/IntentManager.h - The intent in force on this host --------===//
///
/// \file
/// Drives IntentInForce and Dissemination: passes them messages, ticks and
/// versions accepted by the control log, and sends their messages.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_INTENTMANAGER_H
#define LIBSERVE_INTENTMANAGER_H

#include <LibIntent/Dissemination.h>
#include <LibIntent/IntentInForce.h>
#include <LibServe/Peers.h>
#include <mutex>
#include <span>

namespace carobhinge {

/// Thread-safe.
class IntentManager {
public:
  IntentManager(const Settings &LocalSettings, Peers &Links);

  /// The control log of this host accepted a version.
  void accepted(std::uint64_t Version, const std::string &Text);
  /// See Dissemination::confirmCurrent().
  void confirmed(TimePoint ReadStartedAt);
  void received(const HostName &From, const message::IntentMessage &Message);
  void tick();

  /// Null before the first version, and if this release cannot parse the text.
  [[nodiscard]] std::shared_ptr<const Intent> intent() const;
  [[nodiscard]] std::uint64_t version() const;
  [[nodiscard]] std::string textDigest() const;
  [[nodiscard]] std::string text() const;
  [[nodiscard]] DomainRefusal refusal() const;
  [[nodiscard]] bool ready() const;
  /// Holds or releases this failure domain for an operator; false if this host
  /// is not ready.
  bool hold(bool Held, std::string_view Operator, std::int64_t StampMs);

private:
  void send(std::span<const OutgoingIntentMessage> Messages);

  Peers &Links;
  mutable std::mutex Lock;
  IntentInForce InForce;
  Dissemination Disseminator;
};

} // namespace carobhinge

#endif // LIBSERVE_INTENTMANAGER_H
