#include "gooseberrybeam/relay/ServerContact.h"

#include "gooseberrybeam/relay/HomeCoordinator.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const std::vector<BackendId> Servers = {{"a"}, {"b"}, {"c"}, {"d"}};
constexpr TimePoint Start{100s};

} // namespace

TEST_CASE("An instance tells its own cut from failures of servers",
          "[relay][cutoff]") {
  ServerContact Contact;
  CHECK(Contact.serversToProbe(Servers, Start).empty());
  Contact.onUnreachable({"a"}, Start);

  SECTION("one server that fails again and again is no cut") {
    Contact.onUnreachable({"a"}, Start + 1s);
    CHECK(Contact.serversToProbe(Servers, Start + 1s).empty());
  }
  SECTION("two that fail at different times are none") {
    Contact.onUnreachable({"b"}, Start + 3s);
    CHECK(Contact.serversToProbe(Servers, Start + 3s).empty());
  }
  SECTION("two that fail while others are connected to are none") {
    Contact.onReached();
    Contact.onUnreachable({"b"}, Start + 1s);
    CHECK(Contact.serversToProbe(Servers, Start + 1s).empty());
  }
  SECTION("two that fail together make it try others") {
    Contact.onUnreachable({"b"}, Start);
    CHECK(Contact.serversToProbe(Servers, Start).size() == 3);
    CHECK_FALSE(Contact.isCutOff());

    SECTION("if one can be connected to, the servers have failed") {
      CHECK_FALSE(Contact.onProbed(true));
      CHECK_FALSE(Contact.isCutOff());
      CHECK(Contact.serversToProbe(Servers, Start + 1s).empty());
    }
    SECTION("if none can, the instance is cut off") {
      CHECK(Contact.onProbed(false));
      CHECK(Contact.isCutOff());
      CHECK(Contact.serversToProbe(Servers, Start + 100ms).empty());
      CHECK(Contact.serversToProbe(Servers, Start + 1s).size() == 3);
      CHECK_FALSE(Contact.onProbed(false));
      SECTION("until one can") {
        CHECK(Contact.onProbed(true));
        CHECK_FALSE(Contact.isCutOff());
      }
    }
  }
  SECTION("a single server suffices if there is no other") {
    const std::vector<BackendId> Only = {{"a"}};
    CHECK(Contact.serversToProbe(Only, Start) == Only);
  }
  SECTION("without servers nothing is tried") {
    CHECK(Contact.serversToProbe({}, Start).empty());
  }
}

TEST_CASE("A home names instances that reach backend servers",
          "[relay][cutoff]") {
  BackendDirectory Directory;
  HomeCoordinator Home(Directory, RateLimitBounds());
  std::map<InstanceId, int> Named;
  constexpr int Instances = 30;
  const auto NameOf = [](int Index) {
    return InstanceId{"i" + std::to_string(Index)};
  };
  const auto IsCutOff = [](int Index) { return Index % 5 < 3; };
  for (int I = 0; I != Instances; ++I) {
    HomeHeartbeat Message;
    Message.IsAttached_ = true;
    Message.IsCutOff_ = IsCutOff(I);
    Home.onHeartbeat(NameOf(I), Message, Start);
  }
  for (int I = 0; I != Instances; ++I) {
    if (!IsCutOff(I))
      continue;
    const auto Proxies = Home.proxiesFor(NameOf(I));
    CHECK(Proxies.size() == 6);
    for (const InstanceId &Each : Proxies)
      ++Named[Each];
  }
  SECTION("none that is cut off, and all that are not") {
    for (int I = 0; I != Instances; ++I)
      CHECK((Named[NameOf(I)] > 0) == !IsCutOff(I));
  }
  SECTION("none if all are cut off") {
    for (int I = 0; I != Instances; ++I) {
      HomeHeartbeat Message;
      Message.IsAttached_ = true;
      Message.IsCutOff_ = true;
      Home.onHeartbeat(NameOf(I), Message, Start);
    }
    CHECK(Home.proxiesFor(NameOf(0)).empty());
  }
}
