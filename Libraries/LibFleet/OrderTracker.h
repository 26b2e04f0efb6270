//===- LibFleet/OrderTracker.h - Orders in progress -----------------------===//
///
/// \file
/// Tracks at most one order in progress per endpoint and decides when the next
/// one may be sent.
///
/// An endpoint that checks fencing tokens refuses a late order itself, so an
/// unanswered order is abandoned after a timeout. Orders to endpoints that
/// ignore fencing tokens follow a stricter protocol: the order is recorded in
/// the control log before it is sent, it is sent only once, and the next order
/// waits for an answer, for an announcement that shows the order as applied, or
/// for a new incarnation. The drawback: after a lost order or answer such an
/// endpoint stays idle until it shows the order as applied or is restarted, and
/// it gets no orders while the control log is unreachable.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ORDERTRACKER_H
#define LIBFLEET_ORDERTRACKER_H

#include <LibFleet/Order.h>
#include <map>
#include <span>

namespace carobhinge {

/// An order to an endpoint that ignores fencing tokens, as recorded in the
/// control log before the order is sent.
struct RecordedOrder {
  EndpointName Endpoint;
  Incarnation IncarnationNumber = 0;
  FencingToken Number = 0;

  bool operator==(const RecordedOrder &) const = default;
};

class OrderTracker {
public:
  enum class Stage : std::uint8_t {
    /// Waits until the control log has committed the record.
    Recording,
    /// Recorded, or no record is required.
    Sendable,
    Sent,
    /// Answered, or known not to have been sent.
    Resolved,
  };

  struct Entry {
    Order Content;
    bool RequiresRecord = false;
    /// A join for which the endpoint must load weights.
    bool LoadsWeights = false;
    Stage CurrentStage = Stage::Sendable;
    TimePoint StageSince;
  };

  explicit OrderTracker(Duration Timeout) : Timeout(Timeout) {}

  /// Replaces all entries by the orders of earlier planners that may still
  /// arrive.
  void reset(TimePoint Now, std::span<const RecordedOrder> RecordedOrders);

  /// True if no new order may be sent to \p Recipient now.
  [[nodiscard]] bool isBlocked(TimePoint Now,
                               const Announcement &Recipient) const;
  /// True if a sent order may still reach \p Recipient at any later time. Only
  /// an answer or a new incarnation rules that out.
  [[nodiscard]] bool mayArriveLate(const Announcement &Recipient) const;

  void add(TimePoint Now, const Announcement &Recipient, Order NewOrder,
           bool LoadsWeights);
  /// The control log has committed the record of the order \p Number.
  void markRecorded(TimePoint Now, FencingToken Number);
  void handleResult(FencingToken Number, OrderSendResult Result);
  void handleAnnouncement(const Announcement &NewAnnouncement);
  /// Returns the orders that can be sent now and marks them as sent.
  std::vector<std::pair<EndpointName, Order>> takeSendable(TimePoint Now);

  /// Returns and removes the recorded orders that can no longer arrive.
  std::vector<RecordedOrder> takeResolved();

  [[nodiscard]] const std::map<EndpointName, Entry> &entries() const {
    return this->Entries;
  }

private:
  [[nodiscard]] bool isTimedOut(TimePoint Now, const Entry &Each) const;

  Duration Timeout;
  std::map<EndpointName, Entry> Entries;
  std::vector<RecordedOrder> Resolved;
};

} // namespace carobhinge

#endif // LIBFLEET_ORDERTRACKER_H
