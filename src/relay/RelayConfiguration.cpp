#include "gooseberrybeam/relay/RelayConfiguration.h"

#include <algorithm>
#include <cassert>
#include <cctype>

namespace gooseberry {
namespace {

std::string normalHost(std::string_view Host) {
  std::string Name(Host.substr(0, Host.find(':')));
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char Char) { return std::tolower(Char); });
  return Name;
}

bool isLonger(const RelayRoute *A, const RelayRoute *B) {
  return A->PathPrefix_.size() > B->PathPrefix_.size();
}

} // namespace

RelayConfiguration::RelayConfiguration(RelayConfigurationParts Parts)
    : Parts_(std::move(Parts)) {
  for (const auto &Each : Parts_.Routes_)
    ByHost_[normalHost(Each.Host_)].push_back(&Each);
  for (auto &[Host, Routes] : ByHost_)
    std::stable_sort(Routes.begin(), Routes.end(), isLonger);
  for (const auto &Each : Parts_.Organisations_) {
    ByName_.emplace(Each.Name_, &Each);
    for (const auto &Key : Each.Keys_)
      ByKey_.emplace(Key, &Each);
  }
  for (const auto &Each : Parts_.Services_)
    ByService_.emplace(Each.Name_, &Each);
}

const RelayRoute *RelayConfiguration::findRoute(std::string_view Host,
                                                std::string_view Path) const {
  const auto Found = ByHost_.find(normalHost(Host));
  if (Found == ByHost_.end())
    return nullptr;
  for (const RelayRoute *Each : Found->second)
    if (Path.starts_with(Each->PathPrefix_))
      return Each;
  return nullptr;
}

const RelayOrganisation *
RelayConfiguration::findByKey(std::string_view Key) const {
  const auto Found = ByKey_.find(Key);
  return Found == ByKey_.end() ? nullptr : Found->second;
}

const RelayOrganisation *
RelayConfiguration::findOrganisation(const OrganisationId &Name) const {
  const auto Found = ByName_.find(Name);
  return Found == ByName_.end() ? nullptr : Found->second;
}

const RelayService *
RelayConfiguration::findService(const ServiceId &Name) const {
  const auto Found = ByService_.find(Name);
  return Found == ByService_.end() ? nullptr : Found->second;
}

const ServiceId &chooseTarget(const RelayRoute &Route, double Draw) {
  assert(!Route.Targets_.empty());
  std::uint64_t Total = 0;
  for (const auto &Each : Route.Targets_)
    Total += Each.Weight_;
  double Left = Draw * static_cast<double>(Total);
  for (const auto &Each : Route.Targets_) {
    Left -= Each.Weight_;
    if (Left < 0)
      return Each.Service_;
  }
  return Route.Targets_.front().Service_;
}

} // namespace gooseberry
