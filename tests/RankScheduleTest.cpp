#include "gooseberrybeam/fairness/FairQueue.h"
#include "gooseberrybeam/relay/QueueForecast.h"

#include <catch2/catch.hpp>

#include <string>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now(10s);

QueueItem makeItem(std::string Request, std::uint32_t Rank,
                   Duration TimeLeft = 60s) {
  QueueItem Item;
  Item.Request_ = {std::move(Request)};
  Item.Organisation_ = {"acme"};
  Item.Rank_ = Rank;
  Item.LatestStart_ = Now + 1s;
  Item.ExpiresAt_ = Now + TimeLeft;
  return Item;
}

/// Grants the next requests of a queue.
/// \returns the first letters of their names.
std::string grantNext(FairQueue &Queue, int Count) {
  std::string Names;
  for (int I = 0; I != Count; ++I) {
    const RequestId Next = *Queue.peek(Now);
    Names += Next.Value_.front();
    Queue.eraseGranted(Next);
  }
  return Names;
}

} // namespace

TEST_CASE("Ranks are served in order, and none is blocked", "[fairness]") {
  FairQueue Queue;
  for (int I = 0; I != 20; ++I) {
    Queue.push(makeItem("b" + std::to_string(I), 7));
    Queue.push(makeItem("a" + std::to_string(I), 1));
  }

  SECTION("one grant in six goes to the less urgent rank") {
    CHECK(grantNext(Queue, 12) == "aaaaabaaaaab");
  }
  SECTION("less urgent ranks take turns") {
    // Failure: of several less urgent ranks, only the first gets turns. The
    // last rank is the greatest number that a configuration can name.
    for (int I = 0; I != 20; ++I)
      Queue.push(makeItem("c" + std::to_string(I), 4'294'967'295));
    CHECK(grantNext(Queue, 18) == "aaaaabaaaaacaaaaab");
  }
  SECTION("a turn ends with a grant only") {
    // Failure: each look at the queue uses up a turn.
    CHECK(grantNext(Queue, 5) == "aaaaa");
    for (int I = 0; I != 10; ++I)
      CHECK(Queue.peek(Now)->Value_.front() == 'b');
    SECTION("and other ranks are served while it is pending") {
      CHECK(Queue.rankOrder() == std::vector<std::uint32_t>{7, 1});
      Queue.eraseGranted(*Queue.peek(1, Now));
      CHECK(grantNext(Queue, 7) == "baaaaab");
    }
    SECTION("but not if the request is withdrawn") {
      Queue.erase(*Queue.peek(Now));
      CHECK(grantNext(Queue, 2) == "ba");
    }
  }
  SECTION("late work of an urgent rank goes before other ranks") {
    // Failure: the urgent kind is refused more often than the other.
    QueueItem Late = makeItem("late", 0);
    Late.LatestStart_ = Now - 1s;
    Queue.push(Late);
    CHECK(Queue.peek(Now)->Value_ == "late");
  }
  SECTION("grants without competition earn no turn") {
    // Failure: the first urgent requests after a quiet time wait for turns.
    FairQueue Quiet;
    for (int I = 0; I != 9; ++I)
      Quiet.push(makeItem("a" + std::to_string(I), 1));
    CHECK(grantNext(Quiet, 5) == "aaaaa");
    Quiet.push(makeItem("b", 7));
    CHECK(grantNext(Quiet, 4) == "aaaa");
  }
  SECTION("requests of all ranks expire") {
    CHECK(Queue.takeExpired(Now + 61s).size() == 40);
    CHECK(Queue.size() == 0);
  }
}

TEST_CASE("A queued request is refused early only on clear evidence",
          "[fairness]") {
  // One grant each 100 ms; 30 requests of 2 s wait. The last ten begin after
  // 2 s, but no more than half later than that, so that all may stay.
  GrantPace Pace;
  const auto Grant = [&Pace](int Count) {
    for (int I = Count; I >= 0; --I)
      Pace.onGranted(TimePoint(1s), Now - I * 100ms);
  };
  FairQueue Queue;
  const auto CountUnreachable = [&](TimePoint At) {
    return QueueForecast(Pace, At).unreachable(Queue.expectedOrder()).size();
  };
  for (int I = 0; I != 30; ++I)
    Queue.push(makeItem("a" + std::to_string(I), 1, 2s));

  SECTION("not without recent grants") {
    // Failure: a new home, or one after a quiet time, refuses what it could
    // serve.
    Queue.push(makeItem("z", 1, 1ms));
    CHECK(CountUnreachable(Now) == 0);
    Grant(10);
    CHECK(CountUnreachable(Now) == 0);
    Grant(30);
    CHECK(CountUnreachable(Now + 3s) == 0);
  }
  SECTION("not if the forecast misses the deadline by little") {
    Grant(30);
    CHECK(CountUnreachable(Now) == 0);
    SECTION("but all that miss it clearly") {
      for (int I = 30; I != 50; ++I)
        Queue.push(makeItem("a" + std::to_string(I), 1, 2s));
      CHECK(CountUnreachable(Now) == 19);
    }
  }
  SECTION("not if its turn comes before the more urgent rank is served") {
    // Failure: less urgent work is refused altogether.
    Grant(30);
    for (int I = 0; I != 9; ++I)
      Queue.push(makeItem("b" + std::to_string(I), 2, 2s));
    CHECK(CountUnreachable(Now) == 4);
  }
  SECTION("not because of the queue of another organisation") {
    // Failure: one organisation's flood makes the home refuse all others.
    Grant(30);
    for (int I = 30; I != 90; ++I)
      Queue.push(makeItem("a" + std::to_string(I), 1, 2s));
    QueueItem Other = makeItem("other", 1, 2s);
    Other.Organisation_ = {"other"};
    Queue.push(Other);
    for (const RequestId &Each :
         QueueForecast(Pace, Now).unreachable(Queue.expectedOrder()))
      CHECK(Each.Value_ != "other");
  }
}
