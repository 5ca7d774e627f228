/// \file
/// Applies what the store or a peer says of evacuated data centres.
#ifndef GOOSEBERRYBEAM_RELAYD_APPLYEVACUATION_H
#define GOOSEBERRYBEAM_RELAYD_APPLYEVACUATION_H

#include "gooseberrybeam/relay/BackendDirectory.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"

#include <string_view>

namespace gooseberry {

/// Applies a state if it is newer than the known one, and logs what changes.
/// Servers of a data centre whose evacuation ends are assumed to be cold if
/// their service has a cold start, so that they are not overrun.
/// \param Directory the registered backend servers.
/// \param Configuration the configuration in force; null if unknown.
/// \param State the state that was read or received.
/// \param Origin `store`, or the peer that has sent it, for the log.
void applyEvacuation(BackendDirectory &Directory,
                     const RelayConfiguration *Configuration,
                     const EvacuationState &State, std::string_view Origin);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_APPLYEVACUATION_H
