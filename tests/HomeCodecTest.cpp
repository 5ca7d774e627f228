#include "gooseberrybeam/relayd/HomeCodec.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

void checkRoundTrip(const HomeMessage &Message) {
  const auto Parsed = parseHomeMessage(encodeHomeMessage(Message));
  REQUIRE(Parsed);
  CHECK(*Parsed == Message);
}

} // namespace

TEST_CASE("Home messages round-trip through their encoding", "[relay]") {
  SECTION("heartbeats") {
    HomeHeartbeat Message;
    Message.Sequence_ = 4;
    Message.ConfigurationVersion_ = 17;
    Message.ServersVersion_ = 99;
    Message.Uptime_ = 12s;
    Message.IsAttached_ = true;
    Message.Attachment_ = 3;
    Message.TokenUsage_ = {{{"acme"}, 250.5, 3s}};
    Message.RunningGenerations_ = {
        {{"r"}, {"acme"}, {"svc"}, {"d1"}, 5000, 630, 4400}};
    checkRoundTrip(Message);
    checkRoundTrip(HomeReply{4, 17, 99, true, {{"acme"}}, {{{"acme"}, 0.5}}});
  }
  SECTION("placement requests, grants and denials") {
    PlacementRequest Ask;
    Ask.Request_ = {"r"};
    Ask.Organisation_ = {"acme"};
    Ask.Service_ = {"svc"};
    Ask.PromptTokens_ = 5000;
    Ask.TargetLeft_ = -3ms;
    Ask.TimeLeft_ = 13s;
    Ask.PatienceLeft_ = 3600ms;
    Ask.NeedsPrefill_ = false;
    Ask.ExcludedEngines_ = {{"d1"}, {"d2"}};
    checkRoundTrip(Ask);
    checkRoundTrip(PlacementGrant{{"r"},
                                  ChosenServer{{"p1"}, {"10.0.0.1:80"}},
                                  {{"d1"}, {"10.0.0.2:80"}}});
    checkRoundTrip(
        PlacementGrant{{"r"}, std::nullopt, {{"d1"}, {"1.1.1.1:1"}}});
    checkRoundTrip(PlacementDenial{{"r"}, RefusalReason::RateExceeded, 1s});
    checkRoundTrip(PlacementDenial{{"r"}, RefusalReason::QueueFull, {}});
  }
  SECTION("generation reports") {
    checkRoundTrip(
        GenerationReport{{"r"}, GenerationStep::HandleLost, {"p1"}, 7, 5ms});
  }
  SECTION("copies of the configuration and the backend servers") {
    checkRoundTrip(ConfigurationRequest{3});
    checkRoundTrip(ConfigurationCopy{"{}"});
    checkRoundTrip(ServersRequest{5});
    checkRoundTrip(ServersCopy{6, {{"a", "{}", 4}, {"b", "", 6}}});
  }
}

TEST_CASE("Malformed home messages are rejected", "[relay]") {
  CHECK_FALSE(parseHomeMessage(""));
  CHECK_FALSE(parseHomeMessage("\xff\xff\xff"));
  HomeMessage Denial =
      PlacementDenial{{"r"}, static_cast<RefusalReason>(200), {}};
  CHECK_FALSE(parseHomeMessage(encodeHomeMessage(Denial)));
}
