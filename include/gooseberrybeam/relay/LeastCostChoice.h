/// \file
/// Chooses a backend server by what one instance has seen.
#ifndef GOOSEBERRYBEAM_RELAY_LEASTCOSTCHOICE_H
#define GOOSEBERRYBEAM_RELAY_LEASTCOSTCHOICE_H

#include "gooseberrybeam/relay/ServerChoice.h"

#include <cstdint>

namespace gooseberry {

/// Chooses a server with the least expected wait by this instance's own
/// attempts. Servers with similar costs take turns. Ignores estimates.
class LeastCostChoice : public ServerChoice {
public:
  std::size_t choose(std::span<const ServerCandidate> Candidates) override;

private:
  std::uint64_t RoundRobinIndex_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_LEASTCOSTCHOICE_H
