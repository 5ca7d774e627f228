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

RunResult run(const Deployment &Of, const Policy &With, double Load,
              Fault Which = Fault::Calm) {
  return FleetRun({Of, With, Load, Which, 1, std::chrono::seconds(60)}).run();
}

} // namespace

// Bounds are the stated aims of the decisions; fixed seed, virtual time.
TEST_CASE("Placement over eight instances meets its aims", "[policy]") {
  const Deployment Of = GENERATE(makeQureshi(), makeTesfaye());
  INFO(Of.Name_);

  SECTION("calm, at 0.8 of the capacity, nothing within rate is refused") {
    const RunResult Seen = run(Of, homePolicy(), 0.8);
    CHECK(Seen.Refused_ == 0);
    CHECK(Seen.WastedPrefill_ < 0.005);
    CHECK(Seen.WorstServed_ >= 0.9);
  }

  SECTION("at capacity, goodput is 95% of one instance that sees all") {
    const RunResult Once = run(Of, homePolicy(), 1.0);
    const RunResult Oracle = run(Of, oraclePolicy(), 1.0);
    CHECK(Once.Goodput_ >= 0.95 * Oracle.Goodput_);
    CHECK(Once.WastedPrefill_ < 0.005);
    CHECK(Once.WorstServed_ >= 0.9);

    SECTION("and no lower at twice the load") {
      const RunResult Twice = run(Of, homePolicy(), 2.0);
      CHECK(Twice.Goodput_ >= Once.Goodput_);
    }
  }

  SECTION("a single fault wastes less than 3% of the prefill") {
    for (int Which = 1; Which < FaultCount; ++Which) {
      const RunResult Seen =
          run(Of, homePolicy(), 1.0, static_cast<Fault>(Which));
      INFO(asName(static_cast<Fault>(Which)));
      CHECK(Seen.WastedPrefill_ < 0.03);
    }
  }

  SECTION("one organisation at five times its rate starves nobody") {
    const RunResult Seen =
        run(Of, homePolicy(), 0.8, Fault::OrganisationFloods);
    CHECK(Seen.WorstServed_ >= 0.9);
  }

  SECTION("the checks can fail: without shared placement they do") {
    const RunResult Seen = run(Of, localPolicy(), 1.0);
    const RunResult Oracle = run(Of, oraclePolicy(), 1.0);
    CHECK(Seen.Goodput_ < 0.95 * Oracle.Goodput_);
  }
}
