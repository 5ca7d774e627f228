#include "gooseberrybeam/base/Refusal.h"

#include <catch2/catch.hpp>

#include <set>

using namespace gooseberry;

TEST_CASE("Refusal reasons reach callers as codes", "[base]") {
  std::set<std::string_view> Codes;
  for (int I = 0; I < RefusalReasonCount; ++I) {
    const auto Reason = static_cast<RefusalReason>(I);
    Codes.insert(asCode(Reason));
    CHECK(asHttpStatus(Reason) >= 400);
  }
  SECTION("each reason has its own code") {
    CHECK(Codes.size() == RefusalReasonCount);
  }
}
