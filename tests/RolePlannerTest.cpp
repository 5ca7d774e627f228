#include "gooseberrybeam/orders/RolePlanner.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

constexpr Duration Second = std::chrono::seconds(1);

/// The engines of one model. Proposed changes take effect at once.
struct SimulatedFleet {
  RoleState State_;
  RolePlanner Planner_;
  TimePoint Now_{std::chrono::hours(1)};
  int Changes_ = 0;

  SimulatedFleet(int Prefill, int Decode) {
    for (int I = 0; I < Prefill; ++I)
      State_.Prefill_.push_back({std::string("p").append(std::to_string(I))});
    for (int I = 0; I < Decode; ++I)
      State_.Decode_.push_back({std::string("d").append(std::to_string(I))});
  }

  void apply(const RoleProposal &Change) {
    ++Changes_;
    for (auto *Each : {&State_.Prefill_, &State_.Decode_, &State_.Idle_})
      std::erase(*Each, Change.Engine_);
    if (!Change.Role_)
      State_.Idle_.push_back(Change.Engine_);
    else if (*Change.Role_ == EngineRole::Prefill)
      State_.Prefill_.push_back(Change.Engine_);
    else
      State_.Decode_.push_back(Change.Engine_);
  }

  void run(int Seconds, double PrefillEngines, double Slots) {
    for (int I = 0; I < Seconds; ++I) {
      Now_ += Second;
      Planner_.onWork(Duration(static_cast<int>(PrefillEngines * 1e6)),
                      Duration(static_cast<int>(Slots * 1e6)), Now_);
      if (auto Change = Planner_.plan(State_, Now_))
        apply(*Change);
    }
  }
};

} // namespace

TEST_CASE("Roles follow the demand with hysteresis", "[roles]") {
  SimulatedFleet Engines(8, 4);

  SECTION("nothing changes while the fleet matches the demand") {
    Engines.run(300, 4.8, 42);
    CHECK(Engines.Changes_ == 0);

    SECTION("a dip shorter than the hysteresis changes nothing") {
      Engines.run(10, 1, 10);
      Engines.run(60, 4.8, 42);
      CHECK(Engines.Changes_ == 0);
    }

    SECTION("engines become idle when the demand is halved") {
      Engines.run(300, 2.4, 21);
      CHECK(Engines.State_.Prefill_.size() == 5);
      CHECK(Engines.State_.Decode_.size() == 3);
      CHECK(Engines.State_.Idle_.size() == 4);

      SECTION("and become active again when the demand returns") {
        Engines.run(60, 4.8, 42);
        CHECK(Engines.State_.Prefill_.size() >= 7);
      }
    }

    SECTION(
        "a shift from long prompts to long answers moves engines to decode") {
      Engines.run(120, 1.2, 70);
      CHECK(Engines.State_.Decode_.size() >= 5);
      CHECK(Engines.State_.Prefill_.size() <= 4);
    }
  }

  SECTION("the last engine of a role is kept") {
    Engines.run(600, 0, 0);
    CHECK(Engines.State_.Prefill_.size() >= 1);
    CHECK(Engines.State_.Decode_.size() >= 1);
  }
}
