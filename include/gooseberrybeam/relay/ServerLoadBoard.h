/// \file
/// The load of the servers of plain services, summed over instances.
#ifndef GOOSEBERRYBEAM_RELAY_SERVERLOADBOARD_H
#define GOOSEBERRYBEAM_RELAY_SERVERLOADBOARD_H

#include "gooseberrybeam/relay/DecayedMean.h"
#include "gooseberrybeam/relay/ServerLoad.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Kept by a home. Adds up the newest report of each attached instance and
/// averages the answer times of all. A slow and a fast average tell a server
/// that is always slow from one that is slow at present; a failing server has a
/// failure rate.
class ServerLoadBoard {
public:
  /// Replaces what an instance has in flight, and counts its answers.
  /// \param Instance the instance.
  /// \param Reports its report; servers that are not in it have nothing in
  /// flight.
  /// \param Now the current time.
  void onReports(const InstanceId &Instance,
                 std::span<const ServerLoadReport> Reports, TimePoint Now);
  /// Removes the requests in flight of an instance that is no longer attached.
  /// \param Instance the instance.
  void dropInstance(const InstanceId &Instance);
  /// Removes servers that are gone.
  /// \param IsRegistered returns whether a server id is still registered.
  template <typename Predicate> void retainIf(Predicate IsRegistered) {
    const auto IsGone = [&](const auto &Each) {
      return !IsRegistered(Each.first);
    };
    if (std::erase_if(Servers_, IsGone) == 0)
      return;
    for (auto &[Instance, InFlight] : Instances_)
      std::erase_if(InFlight, IsGone);
  }
  /// \param Attached the number of instances whose reports the board gets.
  /// \param All the number of instances.
  /// \param Now the current time.
  /// \returns the estimates for all instances, scaled from the attached ones.
  /// Empty if those are too few to conclude from, or so many that the replies
  /// would take much of the link of the home.
  std::vector<ServerLoadEstimate>
  estimates(std::size_t Attached, std::size_t All, TimePoint Now) const;

private:
  /// What is known of a server.
  struct ServerState {
    std::uint64_t InFlight_ = 0; ///< Of all instances that report here.
    DecayedMean LastingMs_;
    DecayedMean PresentMs_;
    DecayedMean FailureRate_;
    TimePoint ReportedAt_{Duration::zero()};
  };
  using InFlightCounts = std::unordered_map<ServerId, std::uint32_t>;

  ServerState *findOrAdd(const ServerId &Server);
  void subtract(const InFlightCounts &Counts);

  std::unordered_map<ServerId, ServerState> Servers_;
  std::unordered_map<InstanceId, InFlightCounts> Instances_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SERVERLOADBOARD_H
