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
    CHECK(Quarantine.admissionOf(Harmful, Now) == PromptAdmission::Quarantined);
    CHECK(Quarantine.admissionOf(Harmless, Now) == PromptAdmission::Free);
  }
  SECTION("malformed rows hold none") {
    for (const char *Value : {"", "{", "{}", "7", R"([1, {}, "s", [], [3]])"}) {
      StoreRow Malformed = Row;
      Malformed.Value_ = Value;
      CHECK(parseQuarantineRow(Malformed).empty());
    }
  }
}
