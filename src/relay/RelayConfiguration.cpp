#include "gooseberrybeam/relay/RelayConfiguration.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <limits>

namespace gooseberry {
namespace {

std::string normaliseHost(std::string_view Host) {
  std::string Name(Host.substr(0, Host.find(':')));
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char Char) { return std::tolower(Char); });
  return Name;
}

bool hasLongerPrefix(const RelayRoute *A, const RelayRoute *B) {
  return A->PathPrefix_.size() > B->PathPrefix_.size();
}

/// Empty if `Lowest_` is above `Highest_`.
struct PriorityRange {
  std::uint32_t Lowest_ = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t Highest_ = 0;

  void include(const PriorityRange &Other) {
    Lowest_ = std::min(Lowest_, Other.Lowest_);
    Highest_ = std::max(Highest_, Other.Highest_);
  }
};

} // namespace

RelayConfiguration::RelayConfiguration(RelayConfigurationParts Parts)
    : Parts_(std::move(Parts)) {
  for (const auto &Each : Parts_.Routes_)
    RoutesByHost_[normaliseHost(Each.Host_)].push_back(&Each);
  for (auto &[Host, Routes] : RoutesByHost_)
    std::stable_sort(Routes.begin(), Routes.end(), hasLongerPrefix);
  for (const auto &Each : Parts_.Organisations_) {
    OrganisationsByName_.emplace(Each.Name_, &Each);
    for (const auto &Key : Each.Keys_)
      OrganisationsByKey_.emplace(Key, &Each);
  }
  for (const auto &Each : Parts_.Services_)
    ServicesByName_.emplace(Each.Name_, &Each);
  findServicesWithRanks();
}

void RelayConfiguration::findServicesWithRanks() {
  PriorityRange Overrides;
  bool MayUseRoutePriority = Parts_.Organisations_.empty();
  for (const auto &Each : Parts_.Organisations_) {
    if (Each.Priority_)
      Overrides.include({*Each.Priority_, *Each.Priority_});
    else
      MayUseRoutePriority = true;
  }
  std::unordered_map<ServiceId, PriorityRange> Ranges;
  for (const auto &Route : Parts_.Routes_)
    for (const auto &Target : Route.Targets_) {
      PriorityRange &Range = Ranges[Target.Service_];
      if (Route.IsPublic_ || MayUseRoutePriority)
        Range.include({Route.Priority_, Route.Priority_});
      if (!Route.IsPublic_)
        Range.include(Overrides);
    }
  for (const auto &[Service, Range] : Ranges)
    if (Range.Lowest_ < Range.Highest_)
      ServicesWithRanks_.insert(Service);
}

const RelayRoute *RelayConfiguration::findRoute(std::string_view Host,
                                                std::string_view Path) const {
  const auto Found = RoutesByHost_.find(normaliseHost(Host));
  if (Found == RoutesByHost_.end())
    return nullptr;
  for (const RelayRoute *Each : Found->second)
    if (Path.starts_with(Each->PathPrefix_))
      return Each;
  return nullptr;
}

const RelayOrganisation *
RelayConfiguration::findOrganisationByKey(std::string_view Key) const {
  const auto Found = OrganisationsByKey_.find(Key);
  return Found == OrganisationsByKey_.end() ? nullptr : Found->second;
}

const RelayOrganisation *
RelayConfiguration::findOrganisation(const OrganisationId &Name) const {
  const auto Found = OrganisationsByName_.find(Name);
  return Found == OrganisationsByName_.end() ? nullptr : Found->second;
}

const RelayService *
RelayConfiguration::findService(const ServiceId &Name) const {
  const auto Found = ServicesByName_.find(Name);
  return Found == ServicesByName_.end() ? nullptr : Found->second;
}

const ServiceId &chooseTarget(const RelayRoute &Route, double Draw) {
  assert(!Route.Targets_.empty());
  std::uint64_t Total = 0;
  for (const auto &Each : Route.Targets_)
    Total += Each.Weight_;
  double Remaining = Draw * static_cast<double>(Total);
  for (const auto &Each : Route.Targets_) {
    Remaining -= Each.Weight_;
    if (Remaining < 0)
      return Each.Service_;
  }
  return Route.Targets_.front().Service_;
}

} // namespace gooseberry
