#include "gooseberrybeam/relay/BackendDirectory.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

BackendEntry makeEntry(std::string Id) {
  BackendEntry Entry;
  Entry.Id_ = {std::move(Id)};
  Entry.Address_ = {"10.0.0.1:80"};
  Entry.Service_ = {"svc"};
  return Entry;
}

} // namespace

TEST_CASE("Backend registrations are tracked", "[relay]") {
  BackendDirectory Directory;
  Directory.put(makeEntry("a"));
  Directory.put(makeEntry("b"));

  SECTION(
      "a removed entry disappears immediately while the store is available") {
    Directory.remove({"a"}, TimePoint(1s));
    CHECK(Directory.find({"a"}) == nullptr);
    CHECK(Directory.isLeavingOrRemoved({"a"}));
    SECTION("and is available once it registers again") {
      Directory.put(makeEntry("a"));
      CHECK_FALSE(Directory.isLeavingOrRemoved({"a"}));
    }
  }
  SECTION("a leaving server takes no new work") {
    BackendEntry Leaving = makeEntry("a");
    Leaving.IsLeaving_ = true;
    Directory.put(Leaving);
    CHECK(Directory.isLeavingOrRemoved({"a"}));
  }
  SECTION("a server that says that it leaves") {
    CHECK(Directory.onLeaving(ServerId{"a"}));
    CHECK(Directory.find({"a"})->IsLeaving_);
    CHECK(Directory.isLeavingOrRemoved({"a"}));
    SECTION("is news once") { CHECK_FALSE(Directory.onLeaving(ServerId{"a"})); }
    SECTION("leaves whatever an older registration says") {
      Directory.put(makeEntry("a"));
      CHECK(Directory.find({"a"})->IsLeaving_);
      Directory.remove({"a"}, TimePoint(1s));
      Directory.put(makeEntry("a"));
      CHECK(Directory.find({"a"})->IsLeaving_);
    }
    SECTION("takes work again once its process has started again") {
      BackendEntry Restarted = makeEntry("a");
      Restarted.StartTimeMs_ = 7;
      Directory.put(Restarted);
      CHECK_FALSE(Directory.find({"a"})->IsLeaving_);
      CHECK(Directory.announcedLeaving().empty());
    }
    SECTION("is told to other instances while it is registered") {
      CHECK(Directory.announcedLeaving() ==
            std::vector<LeavingServer>{{{"a"}, 0}});
      Directory.remove({"a"}, TimePoint(1s));
      CHECK(Directory.announcedLeaving().empty());
    }
  }
  SECTION("a server that says so before it is registered here leaves") {
    CHECK(Directory.onLeaving(ServerId{"c"}));
    CHECK(Directory.isLeavingOrRemoved({"c"}));
    Directory.put(makeEntry("c"));
    CHECK(Directory.find({"c"})->IsLeaving_);
  }
  SECTION("another instance's word counts for the process that it heard only") {
    CHECK(Directory.onLeaving(LeavingServer{{"a"}, 0}));
    CHECK_FALSE(Directory.onLeaving(LeavingServer{{"b"}, 7}));
    CHECK_FALSE(Directory.onLeaving(LeavingServer{{"c"}, 0}));
    CHECK(Directory.find({"a"})->IsLeaving_);
    CHECK_FALSE(Directory.find({"b"})->IsLeaving_);
    CHECK_FALSE(Directory.isLeavingOrRemoved({"c"}));
  }
  SECTION("a registration that says ready does not undo one that says that the "
          "same process leaves") {
    BackendEntry Leaving = makeEntry("a");
    Leaving.IsLeaving_ = true;
    Directory.put(Leaving);
    Directory.put(makeEntry("a"));
    CHECK(Directory.find({"a"})->IsLeaving_);
  }
  SECTION("an unknown server is not treated as removed, as a peer may learn of "
          "it first") {
    CHECK_FALSE(Directory.isLeavingOrRemoved({"c"}));
  }
  SECTION("a snapshot replaces all entries") {
    Directory.replace({makeEntry("b"), makeEntry("c")}, TimePoint(1s));
    CHECK(Directory.find({"a"}) == nullptr);
    CHECK(Directory.find({"c"}) != nullptr);
  }
  SECTION("an unchanged entry does not increase the change count") {
    const auto Before = Directory.changeCount();
    Directory.put(makeEntry("a"));
    CHECK(Directory.changeCount() == Before);
    SECTION("also while a cold server counts down with each heartbeat") {
      BackendEntry Cold = makeEntry("a");
      Cold.ColdRemaining_ = 3s;
      Directory.put(Cold);
      CHECK(Directory.changeCount() == Before);
    }
  }
  SECTION("after the store was restored from a copy") {
    SECTION("registrations that it lost are kept until they are renewed") {
      Directory.onStoreCopied(TimePoint(10s));
      Directory.remove({"a"}, TimePoint(10s));
      CHECK(Directory.find({"a"}) != nullptr);
      CHECK(Directory.expire(TimePoint(12s)).empty());
      CHECK(Directory.expire(TimePoint(12500ms)).size() == 1);
    }
    SECTION("also if the store had answered without a gap") {
      Directory.storeContact().onPeerSpan({0s, 60s}, TimePoint(10s));
      Directory.onStoreCopied(TimePoint(10s));
      Directory.storeContact().onPeerSpan({0s, 60s}, TimePoint(10s));
      Directory.remove({"a"}, TimePoint(10s));
      CHECK(Directory.find({"a"}) != nullptr);
    }
    SECTION("a server that had gone does not come back") {
      Directory.remove({"a"}, TimePoint(1s));
      Directory.onStoreCopied(TimePoint(10s));
      Directory.putRestored(makeEntry("a"), TimePoint(10s));
      CHECK(Directory.isLeavingOrRemoved({"a"}));
      SECTION("and is forgotten when its old registration lapses") {
        Directory.remove({"a"}, TimePoint(13s));
        Directory.expire(TimePoint(60s));
        CHECK(Directory.find({"a"}) == nullptr);
      }
      SECTION("unless it renews its registration") {
        Directory.expire(TimePoint(14s));
        CHECK(Directory.find({"a"}) == nullptr);
        Directory.expire(TimePoint(15s));
        CHECK(Directory.find({"a"}) != nullptr);
      }
      SECTION("unless its registration changes") {
        Directory.put(makeEntry("a"));
        CHECK(Directory.find({"a"}) != nullptr);
      }
    }
    SECTION("a server that had gone and has started again is used") {
      Directory.remove({"a"}, TimePoint(1s));
      BackendEntry Restarted = makeEntry("a");
      Restarted.StartTimeMs_ = 7;
      Directory.putRestored(Restarted, TimePoint(10s));
      CHECK(Directory.find({"a"}) != nullptr);
    }
    SECTION("a server that leaves is not ready again") {
      BackendEntry Leaving = makeEntry("a");
      Leaving.IsLeaving_ = true;
      Directory.put(Leaving);
      Directory.putRestored(makeEntry("a"), TimePoint(10s));
      CHECK(Directory.find({"a"})->IsLeaving_);
    }
  }
  // Guards against a removed server that is used although only the own path to
  // the store was cut: nothing lapses then, and other instances know it.
  SECTION("while only this instance's path to the store is cut") {
    const auto HearOfAnswers = [&Directory](TimePoint Now) {
      Directory.storeContact().onPeerSpan({100ms, 60s}, Now);
    };
    Directory.storeContact().onAnswer(TimePoint(9s));
    Directory.onStoreUnavailable();
    SECTION("a server that is removed is gone") {
      HearOfAnswers(TimePoint(12s));
      CHECK_FALSE(Directory.isNearOutage(TimePoint(12s)));
      Directory.remove({"a"}, TimePoint(12s));
      CHECK(Directory.find({"a"}) == nullptr);
    }
    SECTION("a server that was kept is dropped once others are heard") {
      Directory.remove({"a"}, TimePoint(12s));
      CHECK(Directory.find({"a"}) != nullptr);
      HearOfAnswers(TimePoint(14s));
      CHECK(Directory.expire(TimePoint(14s)) == std::vector<ServerId>{{"a"}});
      CHECK(Directory.isLeavingOrRemoved({"a"}));
    }
    SECTION("also if they are heard after the path is back") {
      Directory.onStoreRestored(TimePoint(15s));
      Directory.remove({"a"}, TimePoint(15s));
      CHECK(Directory.find({"a"}) != nullptr);
      HearOfAnswers(TimePoint(15100ms));
      CHECK(Directory.expire(TimePoint(15100ms)).size() == 1);
    }
    SECTION("what a peer says of an outage does not hold here") {
      HearOfAnswers(TimePoint(12s));
      Directory.onStoreUnavailable();
      Directory.onStoreRestored(TimePoint(12s));
      Directory.remove({"a"}, TimePoint(12s));
      CHECK(Directory.find({"a"}) == nullptr);
    }
  }
  SECTION("after an outage that others have seen too") {
    Directory.storeContact().onAnswer(TimePoint(9s));
    Directory.storeContact().onPeerSpan({5s, 60s}, TimePoint(14s));
    Directory.onStoreUnavailable();
    Directory.onStoreRestored(TimePoint(14s));
    Directory.storeContact().onAnswer(TimePoint(14s));
    Directory.remove({"a"}, TimePoint(14s));
    CHECK(Directory.find({"a"}) != nullptr);
    SECTION("a server that registers again is used") {
      Directory.put(makeEntry("a"));
      Directory.expire(TimePoint(60s));
      CHECK(Directory.find({"a"}) != nullptr);
    }
    SECTION("one that does not is dropped in time") {
      CHECK(Directory.expire(TimePoint(16s)).empty());
      CHECK(Directory.expire(TimePoint(16300ms)).size() == 1);
    }
  }
  SECTION("during a store outage") {
    Directory.onStoreUnavailable();
    SECTION("expired registrations are kept") {
      Directory.remove({"a"}, TimePoint(12s));
      CHECK(Directory.find({"a"}) != nullptr);
      CHECK(Directory.expire(TimePoint(60s)).empty());
      SECTION("until the servers have had time to register again") {
        Directory.onStoreRestored(TimePoint(20s));
        CHECK(Directory.expire(TimePoint(22s)).empty());
        CHECK(Directory.expire(TimePoint(22500ms)).size() == 1);
        CHECK(Directory.find({"a"}) == nullptr);
      }
      SECTION("permanently if the servers register again") {
        Directory.onStoreRestored(TimePoint(20s));
        Directory.put(makeEntry("a"));
        CHECK(Directory.expire(TimePoint(30s)).empty());
        CHECK(Directory.find({"a"}) != nullptr);
      }
    }
    SECTION("registrations missing right after the outage are kept too") {
      Directory.onStoreRestored(TimePoint(20s));
      Directory.replace({makeEntry("b")}, TimePoint(20100ms));
      CHECK(Directory.find({"a"}) != nullptr);
      CHECK(Directory.expire(TimePoint(22500ms)).size() == 1);
    }
    SECTION("a server that announced it is leaving is not kept") {
      BackendEntry Leaving = makeEntry("a");
      Leaving.IsLeaving_ = true;
      Directory.put(Leaving);
      Directory.remove({"a"}, TimePoint(12s));
      CHECK(Directory.find({"a"}) == nullptr);
    }
  }
}
