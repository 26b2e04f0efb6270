//===- LibFleet/OrderBook.h - Orders that are under way -------------------===//
///
/// \file
/// Keeps at most one order under way for each endpoint and decides when the
/// next one may be sent.
///
/// An endpoint that checks fencing numbers refuses a late order by itself, so
/// that an unanswered order is given up after a timeout. For one that ignores
/// them the stricter path holds: its order is recorded in the control log
/// before it is sent, it is sent once only, and the next one waits for an
/// answer, for an announcement that shows it as applied, or for a new
/// incarnation. The price: after a lost order or answer the endpoint stands
/// idle until it shows the order as applied or is restarted, and while the
/// control log cannot be reached such endpoints get no orders.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ORDERBOOK_H
#define LIBFLEET_ORDERBOOK_H

#include <LibFleet/Order.h>
#include <map>
#include <span>

namespace carobhinge {

/// An order to an endpoint that ignores fencing numbers, as recorded in the
/// control log before it is sent.
struct RecordedOrder {
  EndpointName Endpoint;
  Incarnation Life = 0;
  FencingNumber Number = 0;

  bool operator==(const RecordedOrder &) const = default;
};

class OrderBook {
public:
  enum class Step : std::uint8_t {
    /// Waits for the control log.
    Recording,
    /// Recorded, or needs no record.
    Sendable,
    Sent,
    /// An answer came, or the order never left.
    Settled,
  };

  struct Entry {
    Order Sent;
    bool Strict = false;
    /// A join that makes the endpoint load weights.
    bool Loads = false;
    Step At = Step::Sendable;
    TimePoint Since;
  };

  explicit OrderBook(Duration Timeout) : Timeout(Timeout) {}

  /// Starts anew with the orders of earlier planners that may still arrive.
  void reset(TimePoint Now, std::span<const RecordedOrder> Recorded);

  /// True if no new order may be sent to the endpoint now.
  [[nodiscard]] bool isBlocked(TimePoint Now, const Announcement &To) const;
  /// True if an order may still reach the endpoint that nothing but its answer
  /// or a new incarnation can rule out.
  [[nodiscard]] bool mayArriveLate(const Announcement &To) const;

  void add(TimePoint Now, const Announcement &To, Order New, bool Loads);
  /// The control log has committed the record of order \p Number.
  void recorded(TimePoint Now, FencingNumber Number);
  void answered(FencingNumber Number, OrderResult Result);
  void announced(const Announcement &Said);
  /// Takes what can be sent now; each order is returned once.
  std::vector<std::pair<EndpointName, Order>> takeSendable(TimePoint Now);

  /// Recorded orders that can no longer arrive, each returned once.
  std::vector<RecordedOrder> takeSettled();

  [[nodiscard]] const std::map<EndpointName, Entry> &entries() const {
    return this->Entries;
  }

private:
  [[nodiscard]] bool isOver(TimePoint Now, const Entry &Each) const;

  Duration Timeout;
  std::map<EndpointName, Entry> Entries;
  std::vector<RecordedOrder> Settled;
};

} // namespace carobhinge

#endif // LIBFLEET_ORDERBOOK_H
