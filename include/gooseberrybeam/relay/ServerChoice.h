/// \file
/// A strategy to choose a backend server.
#ifndef GOOSEBERRYBEAM_RELAY_SERVERCHOICE_H
#define GOOSEBERRYBEAM_RELAY_SERVERCHOICE_H

#include "gooseberrybeam/relay/ServerCandidate.h"

#include <cstddef>
#include <span>

namespace gooseberry {

/// Chooses one of several backend servers.
class ServerChoice {
public:
  virtual ~ServerChoice() = default;

  /// \param Candidates the servers that may be used; not empty.
  /// \returns the index of the chosen one.
  virtual std::size_t choose(std::span<const ServerCandidate> Candidates) = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SERVERCHOICE_H
