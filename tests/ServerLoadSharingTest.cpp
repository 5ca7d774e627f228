#include "gooseberrybeam/relayd/ServerLoadSharing.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("An instance uses the estimates of its home for 1 s",
          "[relay][load]") {
  ServerLoadSharing::Balancers Balancers;
  Metrics Counters;
  ServerLoadSharing Sharing(Balancers, Counters);
  const TimePoint Now{10s};
  const std::vector<ServerLoadEstimate> Estimates = {
      {{"s1"}, 3, 20, 20, 0, 0ms}};
  CHECK_FALSE(Sharing.isInForce());
  Sharing.onEstimates(Estimates, Now);
  CHECK(Sharing.isInForce());
  CHECK(Counters.write().find("gooseberry_server_load_estimates_total 1") !=
        std::string::npos);

  SECTION("and not longer: guards against a lost home") {
    Sharing.tick(Now + 1s);
    CHECK(Sharing.isInForce());
    Sharing.tick(Now + 1001ms);
    CHECK_FALSE(Sharing.isInForce());
    SECTION("but those of the next home") {
      Sharing.onEstimates(Estimates, Now + 2s);
      CHECK(Sharing.isInForce());
    }
  }
  SECTION("and none if the next home has none") {
    Sharing.onEstimates({}, Now);
    CHECK_FALSE(Sharing.isInForce());
  }
  SECTION("and reports what the balancers of all services have seen") {
    Balancers[{"one"}].onStart({"s1"}, Now);
    Balancers[{"two"}].onStart({"s2"}, Now);
    CHECK(Sharing.takeReports().size() == 2);
  }
}
