/// \file
/// Choice of the members that witness another member's lease.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_WITNESSES_H
#define GOOSEBERRYBEAM_MEMBERSHIP_WITNESSES_H

#include "gooseberrybeam/membership/EpochDocument.h"

#include <vector>

namespace gooseberry {

/// Most witnesses of one member.
inline constexpr std::size_t MaxWitnesses = 7;

/// \param Document an epoch.
/// \param Id the member to witness.
/// \returns up to `MaxWitnesses` other members by rendezvous hashing, in order
/// of preference.
std::vector<MemberId> chooseWitnesses(const EpochDocument &Document,
                                      const MemberId &Id);

/// \param Count a number of witnesses.
/// \returns how many of them are a majority.
constexpr std::size_t majorityOf(std::size_t Count) { return Count / 2 + 1; }

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_WITNESSES_H
