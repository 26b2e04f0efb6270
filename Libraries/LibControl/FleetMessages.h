//===- LibControl/FleetMessages.h - Conversion of engine reports ----------===//
///
/// \file
/// Converts engine reports to and from the messages between control hosts.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_FLEETMESSAGES_H
#define LIBCONTROL_FLEETMESSAGES_H

#include <LibControl/Control.pb.h>
#include <LibFormation/EngineReport.h>

namespace carobhinge {

/// \p Age is the time since the report was received.
message::EngineReportMessage toMessage(const EngineReport &Report,
                                       Duration Age);
EngineReport fromMessage(const message::EngineReportMessage &Message);

} // namespace carobhinge

#endif // LIBCONTROL_FLEETMESSAGES_H
