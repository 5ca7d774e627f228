#include "support/FleetRun.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace gooseberry::bench;

namespace {

Policy homePolicy() { return Policy{}; }

Policy localPolicy() {
  Policy Local;
  Local.Mode_ = PlacementMode::Local;
  return Local;
}

Policy oraclePolicy() {
  Policy Oracle = localPolicy();
  Oracle.IsOracle_ = true;
  return Oracle;
}

RunResult run(const Deployment &Fleet, const Policy &Placement, double Load,
              Fault Injected = Fault::Calm) {
  return FleetRun(
             {Fleet, Placement, Load, Injected, 1, std::chrono::seconds(60)})
      .run();
}

} // namespace

// The bounds are the documented targets of the placement policy. The seed is
// fixed and time is virtual.
TEST_CASE("Placement across eight instances meets its targets", "[policy]") {
  const Deployment Fleet = GENERATE(makeQureshi(), makeTesfaye());
  INFO(Fleet.Name_);

  SECTION(
      "at 0.8 of the capacity without faults, nothing within rate is refused") {
    const RunResult Result = run(Fleet, homePolicy(), 0.8);
    CHECK(Result.Refused_ == 0);
    CHECK(Result.WastedPrefill_ < 0.005);
    CHECK(Result.WorstServed_ >= 0.9);
  }

  SECTION("at capacity, goodput is 95% of an oracle with full knowledge") {
    const RunResult AtCapacity = run(Fleet, homePolicy(), 1.0);
    const RunResult Oracle = run(Fleet, oraclePolicy(), 1.0);
    CHECK(AtCapacity.Goodput_ >= 0.95 * Oracle.Goodput_);
    CHECK(AtCapacity.WastedPrefill_ < 0.005);
    CHECK(AtCapacity.WorstServed_ >= 0.9);

    SECTION("and goodput is no lower at twice the load") {
      const RunResult AtTwiceCapacity = run(Fleet, homePolicy(), 2.0);
      CHECK(AtTwiceCapacity.Goodput_ >= AtCapacity.Goodput_);
    }
  }

  SECTION("a single fault wastes less than 3% of the prefill") {
    for (int Injected = 1; Injected < FaultCount; ++Injected) {
      const RunResult Result =
          run(Fleet, homePolicy(), 1.0, static_cast<Fault>(Injected));
      INFO(asName(static_cast<Fault>(Injected)));
      CHECK(Result.WastedPrefill_ < 0.03);
    }
  }

  SECTION("one organisation at five times its rate starves nobody") {
    const RunResult Result =
        run(Fleet, homePolicy(), 0.8, Fault::OrganisationFloods);
    CHECK(Result.WorstServed_ >= 0.9);
  }

  SECTION("the goodput bound fails without shared placement") {
    const RunResult Result = run(Fleet, localPolicy(), 1.0);
    const RunResult Oracle = run(Fleet, oraclePolicy(), 1.0);
    CHECK(Result.Goodput_ < 0.95 * Oracle.Goodput_);
  }
}
