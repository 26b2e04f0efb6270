//===- LibFleet/FleetMessages.h - Fleet messages between entry hosts ------===//
///
/// \file
/// Converts between the types of this library and the protobuf messages of
/// Fleet.proto.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_FLEETMESSAGES_H
#define LIBFLEET_FLEETMESSAGES_H

#include <LibFleet/DrainTracker.h>
#include <LibFleet/Fleet.pb.h>
#include <LibFleet/Roster.h>

namespace carobhinge {

message::RosterUpdate toMessage(const Roster &Source);
/// Throws std::invalid_argument for an unknown group state.
Roster fromMessage(const message::RosterUpdate &Source);

message::RosterDigest makeDigest(const Roster &Source);

message::OutstandingWork toMessage(const OutstandingReport &Source);
OutstandingReport fromMessage(const message::OutstandingWork &Source);

} // namespace carobhinge

#endif // LIBFLEET_FLEETMESSAGES_H
