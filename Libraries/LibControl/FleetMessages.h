//===- LibControl/FleetMessages.h - Reports and places as messages --------===//
///
/// \file
/// Conversions between the types of LibFormation and what control hosts send.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_FLEETMESSAGES_H
#define LIBCONTROL_FLEETMESSAGES_H

#include <LibControl/Control.pb.h>
#include <LibFormation/EngineReport.h>

namespace carobhinge {

message::EngineReportMessage toMessage(const EngineReport &Report,
                                       Duration Age);
EngineReport fromMessage(const message::EngineReportMessage &Message);

} // namespace carobhinge

#endif // LIBCONTROL_FLEETMESSAGES_H
