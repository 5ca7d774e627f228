/// \file
/// Traffic of the two deployments.
#ifndef TOOLS_GBLOAD_PROFILE_H
#define TOOLS_GBLOAD_PROFILE_H

#include "gbload/Cluster.h"
#include "gbload/Work.h"

#include <cstdint>
#include <random>
#include <vector>

namespace gooseberry {

/// \param Whole the cluster.
/// \returns the classes of work that its engines and services can take.
std::vector<WorkClass> makeClasses(const Cluster &Whole);

/// Draws requests. The same seed gives the same requests.
class Profile {
public:
  /// \param Whole where the requests go; outlives the profile.
  /// \param Classes classes of work; outlive the profile.
  /// \param Seed seed of the draws.
  /// \param HeavyFactor factor on the first organisation's share.
  Profile(const Cluster &Whole, const std::vector<WorkClass> &Classes,
          std::uint64_t Seed, double HeavyFactor);

  /// \returns the next request.
  Work draw();

  /// \param PerSecond mean rate of arrivals.
  /// \returns the time until the next arrival.
  std::chrono::microseconds drawGap(double PerSecond);

private:
  void drawPrompt(Work &Made);
  void drawService(Work &Made, const WorkClass &Class);

  const Cluster &Cluster_;
  const std::vector<WorkClass> &Classes_;
  std::uint64_t Seed_;
  std::uint64_t Drawn_ = 0;
  std::mt19937_64 Random_;
  std::discrete_distribution<std::size_t> ClassDraw_;
  std::discrete_distribution<std::size_t> OrganisationDraw_;
};

} // namespace gooseberry

#endif // TOOLS_GBLOAD_PROFILE_H
