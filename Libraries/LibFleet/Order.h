//===- LibFleet/Order.h - What the planner tells an engine ----------------===//
///
/// \file
/// An order is posted as JSON to the endpoint's address under OrderPath. The
/// engine answers when the order was accepted; that it was carried out shows
/// in its announcements.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ORDER_H
#define LIBFLEET_ORDER_H

#include <LibFleet/Announcement.h>
#include <vector>

namespace carobhinge {

inline constexpr std::string_view OrderPath = "/carobhinge/orders";

enum class OrderAction : std::uint8_t { Join, Leave };

/// A member as the others of its group reach it.
struct OrderMember {
  EndpointName Endpoint;
  std::string Address;

  bool operator==(const OrderMember &) const = default;
};

/// An engine takes a join only while it is in no group or in a group of the
/// same name. It refuses an order for another incarnation, and, if it checks
/// fencing, one whose number is below that of the last one it applied.
struct Order {
  /// Starts with the planner's epoch, see fencingNumber().
  FencingNumber Number = 0;
  OrderAction Action = OrderAction::Join;
  /// The place to take, or the one to leave.
  GroupPlace Place;
  /// By rank. Empty for a leave.
  std::vector<OrderMember> Members;
  ServiceName Service;
  std::string Version;
  Incarnation ForLife = 0;

  bool operator==(const Order &) const = default;
};

/// What became of an order that was sent.
enum class OrderResult : std::uint8_t {
  /// The endpoint answered that it took the order.
  Accepted,
  /// The endpoint answered that it did not take the order.
  Refused,
  /// No byte of the order was written.
  NotSent,
  /// Bytes were written and no answer came. The order may still arrive.
  Unknown,
};

/// The \p Counter-th number of an epoch. Numbers of a later epoch are larger.
constexpr FencingNumber fencingNumber(std::uint64_t Epoch,
                                      std::uint32_t Counter) {
  return (Epoch << 32U) | Counter;
}

std::optional<Order> parseOrder(std::string_view Json, Findings &Out);
std::string toJson(const Order &From);

} // namespace carobhinge

#endif // LIBFLEET_ORDER_H
