#include "gooseberrybeam/relayd/HomeLink.h"

#include <algorithm>

namespace gooseberry {

std::vector<BackendId> HomeLink::proxies() {
  std::vector<BackendId> Addresses;
  if (Proxies_.empty())
    return Addresses;
  std::rotate(Proxies_.begin(), Proxies_.begin() + 1, Proxies_.end());
  for (const InstanceId &Each : Proxies_) {
    const auto Found = CallerAddresses_.find(Each);
    if (Found != CallerAddresses_.end() && !Found->second.isEmpty())
      Addresses.push_back(Found->second);
  }
  return Addresses;
}

} // namespace gooseberry
