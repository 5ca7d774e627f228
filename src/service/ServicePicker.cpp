#include "gooseberrybeam/service/ServicePicker.h"

#include <limits>

namespace gooseberry {
namespace {

constexpr Duration AvoidTime = std::chrono::seconds(1);
constexpr std::uint64_t AvoidCost = std::uint64_t{1} << 32;
constexpr std::size_t MaxForgotten = 1024;

} // namespace

std::uint64_t ServicePicker::costOf(const BackendId &Server,
                                    const BackendId &Avoid,
                                    TimePoint Now) const {
  std::uint64_t Cost = Server == Avoid ? 2 * AvoidCost : 0;
  const auto Found = Loads_.find(Server);
  if (Found == Loads_.end())
    return Cost;
  if (Now < Found->second.AvoidUntil_)
    Cost += AvoidCost;
  return Cost + Found->second.InFlight_;
}

std::optional<BackendId> ServicePicker::pick(std::span<const BackendId> Servers,
                                             const BackendId &Avoid,
                                             TimePoint Now) {
  if (Servers.empty())
    return std::nullopt;
  const std::size_t First = Turn_++ % Servers.size();
  std::uint64_t Least = std::numeric_limits<std::uint64_t>::max();
  std::size_t Best = First;
  for (std::size_t I = 0; I != Servers.size(); ++I) {
    const std::size_t At = (First + I) % Servers.size();
    const std::uint64_t Cost = costOf(Servers[At], Avoid, Now);
    if (Cost >= Least)
      continue;
    Least = Cost;
    Best = At;
  }
  return Servers[Best];
}

void ServicePicker::onBegin(const BackendId &Server) {
  ++Loads_[Server].InFlight_;
}

void ServicePicker::onEnd(const BackendId &Server, bool HasFailed,
                          TimePoint Now) {
  Load &Of = Loads_[Server];
  --Of.InFlight_;
  Of.AvoidUntil_ = HasFailed ? Now + AvoidTime : TimePoint();
  if (Loads_.size() > MaxForgotten)
    std::erase_if(Loads_,
                  [](const auto &Each) { return Each.second.InFlight_ == 0; });
}

} // namespace gooseberry
