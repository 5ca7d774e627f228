#include "gooseberrybeam/relay/RoomShareChoice.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace gooseberry {
namespace {

/// Assumed if no candidate has an answer time.
constexpr double InitialAnswerMs = 20;
constexpr double MinAnswerMs = 0.1;
/// The present answer time of a server is trusted for about as long as a slow
/// period lasts.
constexpr double PresentTrustMs = 600;
/// Added to the age of the newest report, since the other parts of an estimate
/// are older. With 75 ms, half a heartbeat, callers waited longer.
constexpr double MinAgeMs = 20;
/// How much the cost by own attempts, which is up to date, counts. With 1 or 2,
/// callers waited longer; with 4, a server that fails everything gets 1/625 of
/// its share.
constexpr double OwnCostExponent = 4;

constexpr double MinRoom = 1e-9;

/// A server as the estimates describe it at the time of the choice.
struct ServerRoom {
  double Capacity_ = 0; ///< Requests per ms.
  double InFlight_ = 0;
};

/// \returns the mean answer time of the candidates with a known one.
double meanAnswerMs(std::span<const ServerCandidate> Candidates) {
  double Sum = 0;
  double Count = 0;
  for (const ServerCandidate &Each : Candidates) {
    if (!Each.Estimate_ || Each.Estimate_->LastingMs_ <= 0)
      continue;
    Sum += Each.Estimate_->LastingMs_;
    ++Count;
  }
  return std::max(MinAnswerMs, Count > 0 ? Sum / Count : InitialAnswerMs);
}

/// \returns the age of the newest estimate, in ms.
double ageMs(std::span<const ServerCandidate> Candidates) {
  double Age = PresentTrustMs;
  for (const ServerCandidate &Each : Candidates)
    if (Each.Estimate_)
      Age = std::min(Age, asMilliseconds(Each.Estimate_->Age_));
  return Age + MinAgeMs;
}

ServerRoom roomOf(const ServerCandidate &Candidate, double MeanMs,
                  double AgeMs) {
  ServerRoom Room;
  double AnswerMs = MeanMs;
  if (const auto &Estimate = Candidate.Estimate_) {
    Room.InFlight_ = Estimate->InFlight_;
    if (Estimate->LastingMs_ > 0)
      AnswerMs = Estimate->LastingMs_;
    if (Estimate->PresentMs_ > 0)
      AnswerMs +=
          (Estimate->PresentMs_ - AnswerMs) * std::exp(-AgeMs / PresentTrustMs);
  }
  Room.Capacity_ =
      std::max(1U, Candidate.Slots_) / std::max(AnswerMs, MinAnswerMs);
  Room.InFlight_ =
      std::max(0.0, Room.InFlight_ + Candidate.UnreportedInFlight_);
  return Room;
}

/// \param Arrivals requests to distribute; above 0.
/// \returns the time in ms in which each server would drain if the arrivals
/// evened out the load. Servers with a higher load get none.
double commonDrainMs(std::vector<ServerRoom> Rooms, double Arrivals) {
  std::sort(Rooms.begin(), Rooms.end(),
            [](const ServerRoom &Left, const ServerRoom &Right) {
              return Left.InFlight_ / Left.Capacity_ <
                     Right.InFlight_ / Right.Capacity_;
            });
  double InFlight = Arrivals;
  double Capacity = 0;
  double DrainMs = 0;
  for (const ServerRoom &Each : Rooms) {
    if (Capacity > 0 && Each.InFlight_ >= DrainMs * Each.Capacity_)
      break;
    InFlight += Each.InFlight_;
    Capacity += Each.Capacity_;
    DrainMs = InFlight / Capacity;
  }
  return DrainMs;
}

} // namespace

std::size_t
RoomShareChoice::choose(std::span<const ServerCandidate> Candidates) {
  assert(!Candidates.empty());
  const double MeanMs = meanAnswerMs(Candidates);
  const double AgeMs = ageMs(Candidates);
  std::vector<ServerRoom> Rooms;
  double InFlight = 0;
  for (const ServerCandidate &Each : Candidates) {
    Rooms.push_back(roomOf(Each, MeanMs, AgeMs));
    InFlight += Rooms.back().InFlight_;
  }
  // By Little's law, InFlight / MeanMs requests arrive per ms.
  const double DrainMs = commonDrainMs(Rooms, 1 + InFlight * AgeMs / MeanMs);
  double LeastCost = Candidates.front().Cost_;
  for (const ServerCandidate &Each : Candidates)
    LeastCost = std::min(LeastCost, Each.Cost_);
  std::vector<double> Weights;
  for (std::size_t I = 0; I != Rooms.size(); ++I) {
    const double Room = DrainMs * Rooms[I].Capacity_ - Rooms[I].InFlight_;
    // Above 0, in case that no candidate has room and a low cost.
    Weights.push_back(
        std::max(Room, MinRoom) *
        std::pow(LeastCost / Candidates[I].Cost_, OwnCostExponent));
  }
  return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                 Weights.end())(Random_);
}

} // namespace gooseberry
