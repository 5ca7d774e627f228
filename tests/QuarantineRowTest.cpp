#include "gooseberrybeam/relayd/QuarantineRow.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("Quarantined prompts outlive the loss of all instances", "[relay]") {
  const std::vector<CrashSuspect> Suspects = {
      {{{"s2"}}, 4, 5s}, {{{"s1"}, {"s3"}}, 3, 9s}, {{{"s4"}}, 2, 1s}};
  const auto Quarantined = quarantinedOnly(Suspects);
  REQUIRE(Quarantined.size() == 2);
  const StoreRow Row = makeQuarantineRow(Quarantined);
  CHECK(parseQuarantineRow(Row) == Quarantined);

  SECTION("and are refused by an instance that has read them") {
    PromptQuarantine Quarantine;
    const TimePoint Now{100s};
    Quarantine.merge(parseQuarantineRow(Row), Now);
    const std::vector<PromptSegmentId> Harmful = {{"s3"}, {"s1"}, {"own"}};
    const std::vector<PromptSegmentId> Harmless = {{"s3"}, {"s4"}};
    CHECK(Quarantine.admissionOf(Harmful, Now) == CrashAdmission::Quarantined);
    CHECK(Quarantine.admissionOf(Harmless, Now) == CrashAdmission::Free);
  }
  SECTION("beside quarantined requests") {
    const std::vector<RequestSuspect> Found = {
        {{5, 6}, 4, 5s}, {{0, 7}, 3, 9s}, {{8, 8}, 2, 1s}};
    const auto Requests = quarantinedOnly(Found);
    REQUIRE(Requests.size() == 2);
    const StoreRow Both = makeQuarantineRow(Quarantined, Requests);
    CHECK(parseQuarantineRow(Both) == Quarantined);
    CHECK(parseQuarantinedRequests(Both) == Requests);
    CHECK(parseQuarantinedRequests(Row).empty());
    RequestQuarantine Quarantine;
    Quarantine.merge(parseQuarantinedRequests(Both), TimePoint(100s));
    CHECK(Quarantine.admissionOf({5, 6}, TimePoint(100s)) ==
          CrashAdmission::Quarantined);
  }
  SECTION("malformed rows hold none") {
    for (const char *Value : {"", "{", "{}", "7", R"([1, {}, "s", [], [3]])"}) {
      StoreRow Malformed = Row;
      Malformed.Value_ = Value;
      CHECK(parseQuarantineRow(Malformed).empty());
      CHECK(parseQuarantinedRequests(Malformed).empty());
    }
  }
}
