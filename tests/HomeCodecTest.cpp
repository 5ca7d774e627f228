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
    Message.ServersVersion_ = {99, 4};
    Message.StoreContact_ = StoreContactSpan{80ms, 40s};
    Message.Uptime_ = 12s;
    Message.IsAttached_ = true;
    Message.Attachment_ = 3;
    Message.TokenUsage_ = {{{"acme"}, 250.5, 3s}};
    Message.RunningGenerations_ = {
        {{"r"}, {"acme"}, {"svc"}, {"d1"}, 5000, 630, 4400},
        {{"r2"},
         {"acme"},
         {"svc"},
         {"d1"},
         5000,
         630,
         4400,
         StreamOrigin{{"r1"}, {"svc"}, {"v1"}}}};
    Message.CrashSuspects_ = {{{{"s1"}, {"s2"}}, 3, 5s}};
    Message.RequestSuspects_ = {{{7, 1}, 3, 5s}, {{0, 9}, 2, 1ms}};
    Message.ServerLimits_ = {{{"s1"}, 1.5}, {{"s2"}, 0}};
    Message.LeavingServers_ = {{{"s3"}, 1791444837026}};
    Message.Evacuation_ = {{12, 1}, {{"dc1"}, {"dc2"}}};
    Message.ServerLoads_ = {{{"s1"}, 3, 12, 31.5, 1}};
    Message.IsCutOff_ = true;
    checkRoundTrip(Message);
    HomeReply Reply;
    Reply.Sequence_ = 4;
    Reply.ConfigurationVersion_ = 17;
    Reply.ServersVersion_ = {99, 4};
    Reply.Feeds_ = {{{101, 99, 80ms, true}, {{102, 3}, {7, 3}, 2s, false}, {}}};
    Reply.StoreContact_ = StoreContactSpan{2s, 0s};
    Reply.IsLeaving_ = true;
    Reply.ExhaustedOrganisations_ = {{"acme"}};
    Reply.Utilisation_ = {{{"acme"}, 0.5}};
    Reply.CrashSuspects_ = {{{{"s1"}}, 1, 80ms}};
    Reply.RequestSuspects_ = {{{7, 1}, 3, 5s}};
    Reply.ServerLimits_ = {{{"s1"}, 1.5}};
    Reply.LeavingServers_ = {{{"s3"}, 1791444837026}, {{"s4"}, 0}};
    Reply.Evacuation_ = {{12, 1}, {}};
    Reply.Proxies_ = {{"i1"}, {"i2"}};
    Reply.ServerLoads_ = {{{"s1"}, 3.5, 30, 75, 0.25, 150ms}};
    checkRoundTrip(Reply);
  }
  SECTION("placement requests, grants and denials") {
    PlacementRequest Request;
    Request.Request_ = {"r"};
    Request.Organisation_ = {"acme"};
    Request.Service_ = {"svc"};
    Request.PromptTokens_ = 5000;
    Request.TargetLeft_ = -3ms;
    Request.TimeLeft_ = 13s;
    Request.PatienceLeft_ = 3600ms;
    Request.NeedsPrefill_ = false;
    Request.ExcludedEngines_ = {{"d1"}, {"d2"}};
    Request.SharedSegments_ = {{"s1"}, {"s2"}};
    Request.Fingerprint_ = {0xfedcba9876543210, 3};
    Request.Regions_ = {true, {{"eu"}, {"us"}}};
    checkRoundTrip(Request);
    Request.Regions_ = {true, {}};
    Request.RequiredSoftware_ = {"v1.2"};
    Request.IsResumed_ = true;
    Request.ResumedStream_ = {"r0"};
    checkRoundTrip(Request);
    checkRoundTrip(PlacementGrant{{"r"},
                                  ChosenServer{{"p1"}, {"10.0.0.1:80"}},
                                  {{"d1"}, {"10.0.0.2:80"}},
                                  {"v1.2"}});
    checkRoundTrip(
        PlacementGrant{{"r"}, std::nullopt, {{"d1"}, {"1.1.1.1:1"}}});
    checkRoundTrip(PlacementDenial{{"r"}, RefusalReason::RateExceeded, 1s});
    checkRoundTrip(PlacementDenial{{"r"}, RefusalReason::QueueFull, {}});
  }
  SECTION("limits of servers") {
    checkRoundTrip(ServerLimitReport{{"s1"}, 12.5});
    checkRoundTrip(ServerLimitReport{{"s1"}, 0.0});
    checkRoundTrip(ServerLimitReport{{"s1"}, std::nullopt});
    checkRoundTrip(ServerTokenRequest{7, {"s1"}});
    checkRoundTrip(ServerTokenAnswer{7, 80ms});
  }
  SECTION("generation reports") {
    checkRoundTrip(GenerationReport{
        {"r"}, GenerationStep::HandleLost, {"p1"}, 7, 5ms, {}});
    checkRoundTrip(GenerationReport{{"r"},
                                    GenerationStep::CrashedAtStart,
                                    {"p1"},
                                    7,
                                    5ms,
                                    {{"s1"}, {"s2"}},
                                    {5, 0xfedcba9876543210}});
  }
  SECTION("suspect requests") {
    checkRoundTrip(TrialRequest{9, {"r"}, {5, 6}});
    for (const auto Admission :
         {CrashAdmission::Free, CrashAdmission::Trial, CrashAdmission::Held,
          CrashAdmission::Quarantined})
      checkRoundTrip(TrialAnswer{9, Admission});
    for (const auto Outcome :
         {TrialOutcome::Crashed, TrialOutcome::Answered, TrialOutcome::Ended})
      checkRoundTrip(TrialReport{{"r"}, {5, 6}, Outcome, {"s1"}});
  }
  SECTION("copies of the configuration and the backend servers") {
    checkRoundTrip(ConfigurationRequest{3});
    checkRoundTrip(ConfigurationCopy{"{}"});
    checkRoundTrip(TableRequest{SharedTableId::Instances, 5});
    checkRoundTrip(TableUpdate{
        SharedTableId::Servers, 3, 6, true, {{"a", "{}", 4}, {"b", "", 6}}});
  }
}

TEST_CASE("Malformed home messages are rejected", "[relay]") {
  CHECK_FALSE(parseHomeMessage(""));
  CHECK_FALSE(parseHomeMessage("\xff\xff\xff"));
  HomeMessage Denial =
      PlacementDenial{{"r"}, static_cast<RefusalReason>(200), {}};
  CHECK_FALSE(parseHomeMessage(encodeHomeMessage(Denial)));
}
