#include "tableclient/ParseInstanceList.h"

#include "gooseberrybeam/http/Endpoint.h"
#include "support/Mutations.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

constexpr int FuzzCases = 4000;

std::string makeEntry(const std::string &Name, const std::string &Address) {
  return R"({"name":")" + Name + R"(","kind":"engine","address":")" + Address +
         R"(","data_centre":"dc-a","state":"live"})";
}

std::string makeList(const std::string &Odd) {
  return R"({"instances":[)" + makeEntry("a", "10.0.0.1:80") + "," + Odd + "," +
         makeEntry("b", "10.0.0.2:80") + "]}";
}

} // namespace

TEST_CASE("One odd entry of the platform's list leaves the others",
          "[table][odd]") {
  std::string Odd;
  SECTION("no object") { Odd = "7"; }
  SECTION("nested") { Odd = R"([[[{"name":"x"}]]])"; }
  SECTION("without a name") { Odd = R"({"kind":"engine"})"; }
  SECTION("of an unknown kind") {
    Odd = R"({"name":"x","kind":"odd","address":"10.0.0.3:80",)"
          R"("data_centre":"dc-a","state":"live"})";
  }
  SECTION("with a number for a text") {
    Odd = R"({"name":1e300,"kind":"engine","address":"10.0.0.3:80",)"
          R"("data_centre":"dc-a","state":"live"})";
  }
  SECTION("with an address that cannot be connected to") {
    for (const char *Address : {"10.0.0.3", "10.0.0.3:0", "10.0.0.3:65536",
                                "10.0.0.3:99999999999", "engine:80", ""}) {
      const auto List = parseInstanceList(makeList(makeEntry("x", Address)));
      REQUIRE(List);
      CHECK(List->Entries_.size() == 2);
    }
    Odd = makeEntry("x", "0.0.0.0:80");
  }
  const auto List = parseInstanceList(makeList(Odd));
  REQUIRE(List);
  REQUIRE(List->Entries_.size() == 2);
  CHECK(List->Entries_[0].Name_ == "a");
  CHECK(List->Entries_[1].Name_ == "b");
  CHECK(List->OddEntries_ == 1);
}

TEST_CASE("A list that is none is not an empty one", "[table][odd]") {
  CHECK_FALSE(parseInstanceList(std::string(200'000, '[')));
  CHECK_FALSE(parseInstanceList("{}"));
  CHECK_FALSE(parseInstanceList(R"({"instances":7})"));
  CHECK_FALSE(parseInstanceList(R"({"instances":[7,{}]})"));
  CHECK(parseInstanceList(R"({"instances":[]})"));
  Mutations Change(8);
  for (int I = 0; I != FuzzCases; ++I) {
    const std::string Text =
        Change.mutated(makeList(makeEntry("x", "10.0.0.3:80")));
    const auto List = parseInstanceList(Text);
    INFO(Text);
    if (List)
      for (const ListedInstance &Each : List->Entries_)
        if (Each.Kind_ != ListedKind::Entry)
          REQUIRE(isServerAddress(Each.Address_));
  }
}
