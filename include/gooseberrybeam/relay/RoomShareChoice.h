/// \file
/// Chooses a backend server by the load that the home estimates.
#ifndef GOOSEBERRYBEAM_RELAY_ROOMSHARECHOICE_H
#define GOOSEBERRYBEAM_RELAY_ROOMSHARECHOICE_H

#include "gooseberrybeam/relay/ServerChoice.h"

#include <random>

namespace gooseberry {

/// Chooses at random, each server in proportion to its room: the requests that
/// it should get until all servers have the same load for their speed. The
/// older the estimates, the more requests are assumed to have arrived since,
/// so the shares approach those of the lasting capacities. Many instances with
/// the same old estimates therefore do not all choose the same server. A server
/// that is worse by this instance's own attempts is chosen less.
class RoomShareChoice : public ServerChoice {
public:
  /// \param Seed determines the choices.
  explicit RoomShareChoice(std::uint32_t Seed) : Random_(Seed) {}

  std::size_t choose(std::span<const ServerCandidate> Candidates) override;

private:
  std::minstd_rand Random_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_ROOMSHARECHOICE_H
