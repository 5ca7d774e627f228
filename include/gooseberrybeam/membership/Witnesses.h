/// \file
/// Selects the members that confirm another member's lease.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_WITNESSES_H
#define GOOSEBERRYBEAM_MEMBERSHIP_WITNESSES_H

#include "gooseberrybeam/membership/EpochDocument.h"

#include <vector>

namespace gooseberry {

/// Maximum number of witnesses of one member.
inline constexpr std::size_t MaxWitnesses = 7;

/// \param Document an epoch.
/// \param Id the member whose lease is to be confirmed.
/// \returns up to `MaxWitnesses` other members, chosen by rendezvous hashing
/// and ordered by rank.
std::vector<MemberId> chooseWitnesses(const EpochDocument &Document,
                                      const MemberId &Id);

/// \param Count the number of witnesses.
/// \returns the smallest number of them that is a majority.
constexpr std::size_t majorityOf(std::size_t Count) { return Count / 2 + 1; }

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_WITNESSES_H
