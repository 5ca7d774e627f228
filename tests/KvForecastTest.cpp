#include "gooseberrybeam/relay/KvForecast.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

TEST_CASE("The peak KV memory of growing streams is forecast", "[relay]") {
  SECTION("no streams need no memory") { CHECK(forecastPeakTokens({}) == 0); }
  SECTION("one stream peaks at its end") {
    CHECK(forecastPeakTokens({{5000, 4000}}) == 9000);
  }
  SECTION("streams that start together peak together") {
    CHECK(forecastPeakTokens({{5000, 4000}, {5000, 4000}}) == 18000);
  }
  SECTION("staggered streams need less than the sum of their final sizes") {
    // The first stream frees 9,000 tokens when the second has grown by only
    // 1,000.
    CHECK(forecastPeakTokens({{8000, 1000}, {5000, 4000}}) == 15000);
  }
  SECTION("the order of the streams does not matter") {
    CHECK(forecastPeakTokens({{5000, 4000}, {8000, 1000}}) ==
          forecastPeakTokens({{8000, 1000}, {5000, 4000}}));
  }
}
