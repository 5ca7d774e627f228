#include "gbsoak/PauseCheck.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// Requests that are under way when the server asks may still arrive.
constexpr std::chrono::milliseconds Notice(500);
/// More requests than this during a pause are a fault.
constexpr std::size_t MaxRequests = 2;

} // namespace

bool PauseCheck::isDisturbed(const std::string &Relay, Time Begin,
                             Time End) const {
  const auto Found = Disturbances_.find(Relay);
  return Found != Disturbances_.end() &&
         std::any_of(Found->second.begin(), Found->second.end(),
                     [&](Time Each) { return Each >= Begin && Each <= End; });
}

PauseCheck::Time PauseCheck::endOf(const SeenArrival &Request) const {
  const Time End = Request.At_ + Request.Pause_;
  const auto Found = Starts_.find(Request.Server_);
  if (Found == Starts_.end())
    return End;
  const auto Next =
      std::upper_bound(Found->second.begin(), Found->second.end(), Request.At_);
  return Next == Found->second.end() ? End : std::min(End, *Next);
}

std::vector<std::string>
PauseCheck::findFaults(const std::vector<SeenArrival> &Arrivals,
                       const RelayOf &FindRelay) const {
  std::vector<std::string> Faults;
  for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First) {
    if (First->Pause_.count() == 0)
      continue;
    const std::string Relay = FindRelay(First->Request_);
    const Time End = endOf(*First);
    std::size_t Requests = 0;
    for (auto Each = First; Each != Arrivals.end() && Each->At_ < End; ++Each)
      if (Each->Server_ == First->Server_ && Each->At_ > First->At_ + Notice &&
          FindRelay(Each->Request_) == Relay &&
          !isDisturbed(Relay, First->At_, Each->At_))
        ++Requests;
    if (Requests > MaxRequests)
      Faults.push_back(First->Server_ + " got " + std::to_string(Requests) +
                       " requests from " + Relay +
                       " in a pause that it had asked for");
  }
  return Faults;
}

} // namespace gooseberry
