#include "gooseberrybeam/relay/ServerLoadBoard.h"

#include <algorithm>
#include <cmath>

namespace gooseberry {
namespace {

/// Bounds the memory for loads and the size of a reply.
constexpr std::size_t MaxServers = 256;
/// Bounds the memory for reports; above the largest deployment.
constexpr std::size_t MaxInstances = 1024;
/// Larger numbers in a report are treated as these, so that one faulty instance
/// does not dominate.
constexpr std::uint32_t MaxInFlight = 10'000;
constexpr std::uint32_t MaxEnded = 10'000;
/// No request takes longer; a longer mean answer time is dropped.
constexpr double MaxAnswerMs = 600'000;
/// Many slow periods long, so that these do not change the lasting time much.
constexpr Duration LastingTime = std::chrono::seconds(10);
/// Servers are slow for about this long at a time.
constexpr Duration PresentTime = std::chrono::milliseconds(500);
constexpr Duration FailureTime = std::chrono::seconds(2);
/// If a smaller part of the instances is attached, as at a home that has just
/// taken over or is cut off, its reports do not represent the whole.
constexpr std::size_t MinAttachedDivisor = 4;
/// Estimates that a home sends in one heartbeat interval, to all instances
/// together. At 45 bytes and 6.7 intervals a second, 2,000 take 5 Mbit/s. With
/// more servers or instances, each instance chooses by its own attempts.
constexpr std::size_t MaxStatedEstimates = 2000;

} // namespace

ServerLoadBoard::ServerState *
ServerLoadBoard::findOrAdd(const ServerId &Server) {
  const auto Found = Servers_.find(Server);
  if (Found != Servers_.end())
    return &Found->second;
  if (Server.isEmpty() || Servers_.size() >= MaxServers)
    return nullptr;
  ServerState State = {0, DecayedMean(LastingTime), DecayedMean(PresentTime),
                       DecayedMean(FailureTime), TimePoint(Duration::zero())};
  return &Servers_.emplace(Server, State).first->second;
}

void ServerLoadBoard::subtract(const InFlightCounts &Counts) {
  for (const auto &[Server, Count] : Counts)
    if (const auto Found = Servers_.find(Server); Found != Servers_.end())
      Found->second.InFlight_ -=
          std::min<std::uint64_t>(Count, Found->second.InFlight_);
}

void ServerLoadBoard::dropInstance(const InstanceId &Instance) {
  const auto Found = Instances_.find(Instance);
  if (Found == Instances_.end())
    return;
  subtract(Found->second);
  Instances_.erase(Found);
}

void ServerLoadBoard::onReports(const InstanceId &Instance,
                                std::span<const ServerLoadReport> Reports,
                                TimePoint Now) {
  dropInstance(Instance);
  if (Reports.empty() || Instances_.size() >= MaxInstances)
    return;
  InFlightCounts &Counts = Instances_[Instance];
  for (const ServerLoadReport &Each : Reports) {
    ServerState *State = findOrAdd(Each.Server_);
    if (!State)
      continue;
    const std::uint32_t InFlight = std::min(Each.InFlight_, MaxInFlight);
    // A server that is named twice counts once.
    if (!Counts.emplace(Each.Server_, InFlight).second)
      continue;
    State->InFlight_ += InFlight;
    State->ReportedAt_ = std::max(State->ReportedAt_, Now);
    const bool IsPlausible = std::isfinite(Each.AnswerMs_) &&
                             Each.AnswerMs_ > 0 &&
                             Each.AnswerMs_ <= MaxAnswerMs;
    const double Answers = IsPlausible ? std::min(Each.Answers_, MaxEnded) : 0;
    const double Failures = std::min(Each.Failures_, MaxEnded);
    if (Answers > 0) {
      State->LastingMs_.add(Each.AnswerMs_, Answers, Now);
      State->PresentMs_.add(Each.AnswerMs_, Answers, Now);
    }
    if (Answers + Failures > 0)
      State->FailureRate_.add(Failures / (Answers + Failures),
                              Answers + Failures, Now);
  }
}

std::vector<ServerLoadEstimate>
ServerLoadBoard::estimates(std::size_t Attached, std::size_t All,
                           TimePoint Now) const {
  std::vector<ServerLoadEstimate> Estimates;
  if (Attached == 0 || Attached * MinAttachedDivisor < All ||
      Attached * Servers_.size() > MaxStatedEstimates)
    return Estimates;
  const double Scale =
      std::max(1.0, static_cast<double>(All) / static_cast<double>(Attached));
  for (const auto &[Server, State] : Servers_) {
    ServerLoadEstimate Estimate;
    Estimate.Server_ = Server;
    Estimate.InFlight_ = Scale * static_cast<double>(State.InFlight_);
    Estimate.LastingMs_ = State.LastingMs_.mean();
    if (Estimate.LastingMs_ > 0)
      Estimate.PresentMs_ = State.PresentMs_.meanWith(Estimate.LastingMs_, Now);
    // A prior of one success, so that a single failure is not a rate of 1.
    Estimate.FailureRate_ = State.FailureRate_.meanWith(0, Now);
    Estimate.Age_ = std::max(Duration::zero(), Now - State.ReportedAt_);
    Estimates.push_back(std::move(Estimate));
  }
  return Estimates;
}

} // namespace gooseberry
