#include "common/Tokens.h"
#include "gbload/AnswerCheck.h"
#include "standin_engine/CacheEvents.h"
#include "standin_engine/KvStore.h"
#include "standin_engine/OrderDesk.h"
#include "standin_engine/PrefillQueue.h"
#include "standin_engine/PrefixCache.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

KvHolding makeHolding(std::string Request, std::uint64_t Pieces) {
  KvHolding Holding;
  Holding.Request_ = std::move(Request);
  Holding.Holder_ = "i1#1";
  Holding.Pieces_ = Pieces;
  Holding.Computed_ = Pieces * TokensPerPiece;
  return Holding;
}

} // namespace

TEST_CASE("A stand-in engine hands out KV memory in pieces", "[standins]") {
  KvStore Memory(4, "e/");
  const auto *Held = Memory.add(makeHolding("r1", 3));
  REQUIRE(Held != nullptr);

  SECTION("what does not fit is refused and holds nothing") {
    CHECK(Memory.add(makeHolding("r2", 2)) == nullptr);
    CHECK(Memory.used() == 3);
    CHECK_FALSE(Memory.isHeldFor("r2"));
  }

  SECTION("a release without an import counts as wasted") {
    CHECK(Memory.release(Held->Kv_) == 3);
    CHECK(Memory.wastedTokens() == 3 * TokensPerPiece);
    CHECK(Memory.used() == 0);
  }

  SECTION("an import frees it without waste") {
    Memory.finishExport(Held->Kv_);
    CHECK(Memory.wastedTokens() == 0);
    CHECK(Memory.used() == 0);
  }

  SECTION("an old one is evicted, unless an import pins it") {
    const auto Later =
        std::chrono::steady_clock::now() + std::chrono::seconds(1);
    Memory.find(Held->Kv_)->IsExporting_ = true;
    Memory.evictOlderThan(Later);
    CHECK(Memory.used() == 3);
    Memory.find(Held->Kv_)->IsExporting_ = false;
    Memory.evictOlderThan(Later);
    CHECK(Memory.used() == 0);
    CHECK(Memory.evictions() == 1);
  }
}

TEST_CASE("A stand-in engine caches prefixes", "[standins]") {
  std::vector<std::string> Changes;
  PrefixCache Cache(
      3, [&](std::string_view Kind, std::uint64_t, std::uint64_t Tokens) {
        Changes.push_back(std::string(Kind) + std::to_string(Tokens));
      });
  const std::string Shared(PrefixBlockBytes, 's');
  const auto First = hashPrefixes(Shared + std::string(PrefixBlockBytes, 'a'));
  const auto Second = hashPrefixes(Shared + std::string(PrefixBlockBytes, 'b'));
  REQUIRE(First.size() == 2);
  REQUIRE(First[0] == Second[0]);

  Cache.store(First);
  CHECK(Cache.cachedTokens(First) == 2 * PrefixBlockTokens);
  CHECK(Cache.cachedTokens(Second) == PrefixBlockTokens);

  SECTION("the least recently used block goes first") {
    Cache.store(Second);
    Cache.store(hashPrefixes(std::string(PrefixBlockBytes, 'c')));
    CHECK(Cache.cachedTokens(First) == PrefixBlockTokens);
    CHECK(Cache.cachedTokens(Second) == 2 * PrefixBlockTokens);
    CHECK(Changes.back() == "evicted512");
  }
}

TEST_CASE("Cache events come with gaps", "[standins]") {
  CacheEvents Events(std::chrono::milliseconds(0), 0);
  Events.add("stored", 0xab, 256);
  Events.setLoss(100);
  Events.add("stored", 0xcd, 512);
  Events.setLoss(0);
  Events.add("evicted", 0xab, 256);
  const auto Reply = Events.since(0);
  const auto &List = Reply.at("events").as_array();
  REQUIRE(List.size() == 2);
  CHECK(List[0].at("prefix").as_string() == "00000000000000ab");
  CHECK(List[1].at("seq").to_number<int>() == 3);
  CHECK(Reply.at("last").to_number<int>() == 3);
}

TEST_CASE("Prefills run by priority, then by arrival", "[standins]") {
  asio::io_context Context;
  PrefillQueue Queue;
  const auto Push = [&](std::string Request, double Priority) {
    auto Job = std::make_shared<PrefillJob>(Context.get_executor());
    Job->Request_ = std::move(Request);
    Job->Priority_ = Priority;
    Queue.push(Job);
    return Job;
  };
  Push("late", 5);
  Push("first", 0);
  const auto Dropped = Push("dropped", 0);
  Push("second", 0);
  Queue.cancel("dropped");
  CHECK(Dropped->End_ == PrefillEnd::Cancelled);
  CHECK(Queue.pop()->Request_ == "first");
  CHECK(Queue.pop()->Request_ == "second");
  CHECK(Queue.pop()->Request_ == "late");
  CHECK(Queue.pop() == nullptr);
}

TEST_CASE("Orders honour or ignore fencing numbers", "[standins]") {
  asio::io_context Context;
  EngineSettings Settings;
  const boost::json::object Newer = {
      {"fence", 7}, {"kind", "set_role"}, {"role", "decode"}};
  const boost::json::object Older = {
      {"fence", 6}, {"kind", "set_role"}, {"role", "prefill"}};

  SECTION("an engine that checks refuses the older number") {
    Settings.ChecksFence_ = true;
    OrderDesk Desk(Context, Settings);
    CHECK(Desk.take(Newer));
    CHECK_FALSE(Desk.take(Older));
    CHECK(Desk.hasRole("decode"));
  }

  SECTION("another one obeys it, and the log shows that") {
    OrderDesk Desk(Context, Settings);
    CHECK(Desk.take(Newer));
    CHECK(Desk.take(Older));
    CHECK(Desk.hasRole("prefill"));
    CHECK(Desk.log().back().at("stale").as_bool());
  }
}

TEST_CASE("The load tool tells right answers from wrong ones", "[standins]") {
  Work Sent;
  Sent.Prompt_ = "a prompt";
  Sent.MaxTokens_ = 4;
  REQUIRE(naturalLength(Sent.Prompt_) > Sent.MaxTokens_);
  const auto Whole = makeAnswer(Sent.Prompt_, 0, 4);
  Answer Result;

  SECTION("the whole answer is right") {
    checkText(Sent, Whole, "length", Result);
    CHECK(Result.End_ == AnswerEnd::Right);
    CHECK(Result.Tokens_ == 4);
  }

  SECTION("a token that is missing, repeated or another's is wrong") {
    const auto Cut = makeAnswer(Sent.Prompt_, 0, 3);
    for (const auto &Text : {Cut, Whole + makeAnswer(Sent.Prompt_, 3, 1),
                             Cut + makeAnswer("another prompt", 3, 1)}) {
      checkText(Sent, Text, "length", Result);
      CHECK(Result.End_ == AnswerEnd::Wrong);
    }
  }

  SECTION("an error without a code is no refusal") {
    readRefusal(R"({"error":{"code":"queue_full"}})", 503, Result);
    CHECK(Result.End_ == AnswerEnd::Refused);
    readRefusal("{}", 500, Result);
    CHECK(Result.End_ == AnswerEnd::Wrong);
  }
}
