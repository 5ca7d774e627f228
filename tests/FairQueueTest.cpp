#include "gooseberrybeam/fairness/FairQueue.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

QueueItem makeItem(const char *Request, TimePoint LatestStart,
                   TimePoint ExpiresAt) {
  QueueItem Item;
  Item.Request_ = {Request};
  Item.Organisation_ = {"acme"};
  Item.LatestStart_ = LatestStart;
  Item.ExpiresAt_ = ExpiresAt;
  return Item;
}

} // namespace

TEST_CASE("Late work is served after work that can meet its target",
          "[fairness]") {
  FairQueue Queue;
  const TimePoint Now(10s);
  Queue.push(makeItem("new", Now + 800ms, Now + 9s));
  QueueItem Late = makeItem("late", Now - 1s, Now + 5s);

  SECTION("while it is far from expiring") {
    Queue.push(Late);
    CHECK(Queue.peek(Now)->Value_ == "new");
  }
  SECTION("but not if it is about to expire") {
    Late.ExpiresAt_ = Now + 500ms;
    Queue.push(Late);
    CHECK(Queue.peek(Now)->Value_ == "late");
  }
  SECTION("also if it is about to expire and its caller can retry") {
    Late.ExpiresAt_ = Now + 500ms;
    Late.CallerMayRetry_ = true;
    Queue.push(Late);
    CHECK(Queue.peek(Now)->Value_ == "new");
    SECTION("and it is returned once it has expired") {
      CHECK(Queue.takeExpired(Now + 600ms).size() == 1);
    }
  }
}
