//===- LibFleet/Order.h - Orders from the planner to engines --------------===//
///
/// \file
/// An order is posted as JSON to the endpoint's address under OrderPath. The
/// engine's answer confirms that it accepted the order. Its later announcements
/// show that the order was applied.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ORDER_H
#define LIBFLEET_ORDER_H

#include <LibFleet/Announcement.h>
#include <vector>

namespace carobhinge {

inline constexpr std::string_view OrderPath = "/carobhinge/orders";

enum class OrderAction : std::uint8_t { Join, Leave };

/// A group member with the address at which the other members reach it.
struct OrderMember {
  EndpointName Endpoint;
  std::string Address;

  bool operator==(const OrderMember &) const = default;
};

/// An engine accepts a join only while it is in no group or in a group of the
/// same name. It refuses an order for another incarnation and, if it checks
/// fencing, an order whose number is below that of the last one it applied.
struct Order {
  /// Contains the planner's epoch in the upper half, see makeFencingToken().
  FencingToken Number = 0;
  OrderAction Action = OrderAction::Join;
  /// The position to join or to leave.
  GroupPosition Position;
  /// Ordered by rank. Empty for a leave.
  std::vector<OrderMember> Members;
  ServiceName Service;
  std::string Version;
  Incarnation ForIncarnation = 0;

  bool operator==(const Order &) const = default;
};

/// Outcome of sending an order.
enum class OrderSendResult : std::uint8_t {
  /// The endpoint answered that it accepted the order.
  Accepted,
  /// The endpoint answered that it refused the order.
  Refused,
  /// No byte of the order was written.
  NotSent,
  /// Bytes were written but no answer arrived. The order may still arrive.
  Unknown,
};

/// The fencing token of the \p Counter-th order of an epoch. Tokens of a later
/// epoch are larger.
constexpr FencingToken makeFencingToken(std::uint64_t Epoch,
                                        std::uint32_t Counter) {
  return (Epoch << 32U) | Counter;
}

std::optional<Order> parseOrder(std::string_view Json, Findings &Out);
std::string toJson(const Order &Source);

} // namespace carobhinge

#endif // LIBFLEET_ORDER_H
