#include "support/FaultRun.h"

#include <array>

namespace gooseberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Rounding of levels, in tokens.
constexpr double Tolerance = 0.01;

std::vector<SimulatedOrganisation> overload() {
  return {{"large", 2000, 4000, 80, 50, 50},
          {"small", 200, 600, 12, 30, 20},
          {"uneven", 1000, 1000, 30, 60, 45}};
}

std::vector<SimulatedOrganisation> steadyOverload() {
  return {{"large", 2000, 4000, 120, 50, 50},
          {"other", 1000, 2000, 90, 40, 40},
          {"third", 1500, 1500, 120, 30, 30}};
}

std::string writeMilliseconds(Duration Value) {
  return std::to_string(Value.count() / 1000) + " ms";
}

} // namespace

bool FaultRunOutcome::isHolding() const {
  return WorstExcess_ < Tolerance && Serving_ == Instances_;
}

FaultRun::FaultRun(std::uint64_t Seed, LimitFault Fault)
    : Seed_(Seed), Fault_(Fault), Random_(Seed) {}

FaultRunOutcome FaultRun::runMixed() {
  Instances_ = 2 + Random_() % 5;
  World_ =
      std::make_unique<SimulatedCluster>(Instances_, Seed_, overload(), Fault_);
  World_->network().Faults_.Drop_ = 0.02 * (Random_() % 4);
  World_->network().Faults_.Duplicate_ = 0.1;
  World_->network().Faults_.DelayMost_ = milliseconds(2 + Random_() % 80);
  run(seconds(4));
  World_->startLoad();
  run(seconds(2));
  for (int I = 0; I < 4; ++I) {
    World_->table().faults().IsDown_ = Random_() % 4 == 0;
    if (World_->table().faults().IsDown_)
      note("the table is down");
    injectFault();
    run(milliseconds(Random_() % 5000));
  }
  World_->table().faults() = {};
  World_->network().Faults_ = {};
  note("all faults are healed");
  run(seconds(25));
  return outcome();
}

FaultRunOutcome FaultRun::runIsolation() {
  Instances_ = 4;
  World_ = std::make_unique<SimulatedCluster>(Instances_, Seed_,
                                              steadyOverload(), Fault_);
  const std::size_t At = Random_() % Instances_;
  run(seconds(8));
  if (Random_() % 2 == 0) {
    World_->startLoad();
    run(seconds(3));
  }
  note("instance " + std::to_string(At) + " is cut off from its peers");
  World_->setPartitioned(At, true);
  run(milliseconds(3300 + Random_() % 600));
  note("and from the table");
  World_->tableLinkFaults(At).IsDown_ = true;
  if (Random_() % 3 == 0)
    pause(At, milliseconds(Random_() % 6000));
  World_->startLoad();
  run(seconds(20));
  note("both ways are healed");
  World_->setPartitioned(At, false);
  World_->tableLinkFaults(At) = {};
  run(seconds(15));
  return outcome();
}

void FaultRun::injectFault() {
  static constexpr std::array<Injection, 8> Injections = {
      &FaultRun::killForAWhile,  &FaultRun::replace,   &FaultRun::pause,
      &FaultRun::cutOffPeers,    &FaultRun::cutOffAll, &FaultRun::loseReplies,
      &FaultRun::leaveAndReturn, &FaultRun::slowTable,
  };
  const std::size_t At = Random_() % Instances_;
  const auto Lasts = milliseconds(500 + Random_() % 6000);
  (this->*Injections[Random_() % Injections.size()])(At, Lasts);
}

void FaultRun::killForAWhile(std::size_t At, Duration Lasts) {
  note("instance " + std::to_string(At) + " dies for " +
       writeMilliseconds(Lasts));
  World_->kill(At);
  run(Lasts);
  World_->start(At);
}

void FaultRun::replace(std::size_t At, Duration /*Lasts*/) {
  note("instance " + std::to_string(At) + " is replaced at once");
  World_->kill(At);
  World_->start(At);
}

void FaultRun::pause(std::size_t At, Duration Lasts) {
  note("instance " + std::to_string(At) + " pauses for " +
       writeMilliseconds(Lasts));
  World_->pause(At, Lasts);
}

void FaultRun::cutOffPeers(std::size_t At, Duration Lasts) {
  note("instance " + std::to_string(At) + " loses its peers for " +
       writeMilliseconds(Lasts));
  World_->setPartitioned(At, true);
  run(Lasts);
  World_->setPartitioned(At, false);
}

void FaultRun::cutOffAll(std::size_t At, Duration Lasts) {
  note("instance " + std::to_string(At) + " loses peers and table for " +
       writeMilliseconds(Lasts));
  World_->setPartitioned(At, true);
  World_->tableLinkFaults(At).IsDown_ = true;
  run(Lasts);
  World_->setPartitioned(At, false);
  World_->tableLinkFaults(At).IsDown_ = false;
}

void FaultRun::loseReplies(std::size_t /*At*/, Duration /*Lasts*/) {
  note("the table loses its next two replies");
  World_->table().faults().LostReplies_ = 2;
}

void FaultRun::leaveAndReturn(std::size_t At, Duration Lasts) {
  note("instance " + std::to_string(At) + " leaves gracefully and returns");
  World_->retire(At);
  run(milliseconds(Random_() % 2000));
  World_->leave(At);
  run(milliseconds(300));
  World_->kill(At);
  run(Lasts);
  World_->start(At);
}

void FaultRun::slowTable(std::size_t /*At*/, Duration /*Lasts*/) {
  const auto Latency = milliseconds(Random_() % 400);
  note("the table answers after " + writeMilliseconds(Latency));
  World_->table().faults().Latency_ = Latency;
}

void FaultRun::note(const std::string &What) {
  const Duration Since = World_->now().time_since_epoch();
  History_.push_back("at " + writeMilliseconds(Since) + ": " + What);
}

FaultRunOutcome FaultRun::outcome() const {
  return {World_->worstExcess(), World_->servingCount(), Instances_};
}

} // namespace gooseberry
