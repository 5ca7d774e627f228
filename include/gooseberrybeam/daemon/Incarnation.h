/// \file
/// Numbers of incarnations.
#ifndef GOOSEBERRYBEAM_DAEMON_INCARNATION_H
#define GOOSEBERRYBEAM_DAEMON_INCARNATION_H

#include <cstdint>

namespace gooseberry {

/// A later incarnation of an instance name supersedes an earlier one, so the
/// numbers have to grow from process to process.
/// \param After a number that the new one has to exceed.
/// \returns the wall clock in microseconds, or the number that follows
/// \p After.
std::uint64_t makeIncarnation(std::uint64_t After);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_INCARNATION_H
