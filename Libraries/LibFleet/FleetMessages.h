//===- LibFleet/FleetMessages.h - Fleet messages between entry hosts ------===//
///
/// \file
/// Converts between the decision classes' types and the protobuf messages of
/// Fleet.proto.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_FLEETMESSAGES_H
#define LIBFLEET_FLEETMESSAGES_H

#include <LibFleet/DrainWatch.h>
#include <LibFleet/Fleet.pb.h>
#include <LibFleet/Roster.h>

namespace carobhinge {

message::RosterUpdate toMessage(const Roster &From);
/// Throws std::invalid_argument for a state that this version does not know.
Roster fromMessage(const message::RosterUpdate &From);

message::RosterDigest digestOf(const Roster &Of);

message::OutstandingWork toMessage(const OutstandingReport &From);
OutstandingReport fromMessage(const message::OutstandingWork &From);

} // namespace carobhinge

#endif // LIBFLEET_FLEETMESSAGES_H
