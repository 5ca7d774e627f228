#include "gooseberrybeam/idempotency/IdempotentCall.h"
#include "support/RowStore.h"

#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <string>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr int CallCount = 2;
constexpr int MaxFaults = 3;

/// What can happen to one step of a call.
enum class Fate : std::uint8_t {
  Regular,
  Refused,     ///< The table refuses, or no backend server starts the request.
  ReplyLost,   ///< It takes effect; nobody learns of it.
  EffectLater, ///< Its reply is lost and it takes effect at some later step.
  Dies,        ///< The call's instance dies before this step.
};
constexpr std::array Fates = {Fate::Regular, Fate::Refused, Fate::ReplyLost,
                              Fate::EffectLater, Fate::Dies};

/// One call and what it wants next; nothing once it has ended.
struct ModelCall {
  IdempotentCall Call_;
  std::optional<IdempotencyAction> Next_;
};

/// A state of two calls with one key on two instances, and of the table.
struct World {
  RowStore Store_;
  std::vector<ModelCall> Calls_;
  std::vector<TableTransaction> Late_;
  int Faults_ = 0;
  bool TrustsLostReplies_ = false; ///< A broken variant.
  int Executions_ = 0;
  std::array<bool, CallCount> Executed_ = {};
  std::array<bool, CallCount> SaidNotRun_ = {};
};

IdempotentRequest makeRequest(int Index) {
  IdempotentRequest Request;
  Request.RowKey_ = idempotencyRowKey(OrganisationId{"club"}, "key-1");
  Request.Fingerprint_ = "same";
  Request.Holder_ = std::to_string(Index) + "#1";
  Request.Nonce_ = std::to_string(Index);
  Request.ExpiresAtUnixSeconds_ = 86400;
  Request.Deadline_ = TimePoint(1ms);
  return Request;
}

World makeWorld() {
  World Initial;
  for (int I = 0; I < CallCount; ++I) {
    IdempotentCall Call(makeRequest(I), [](std::string_view) { return false; });
    const IdempotencyAction First = Call.start();
    Initial.Calls_.push_back({std::move(Call), First});
  }
  return Initial;
}

/// Carries one step of one call out; `Regular` unless a fault is chosen.
class Step {
public:
  Step(World &Of, int Index, Fate How) : World_(Of), Index_(Index), How_(How) {}

  void run() {
    ModelCall &Current = World_.Calls_[static_cast<std::size_t>(Index_)];
    const IdempotencyAction Action = *Current.Next_;
    Current.Next_.reset();
    if (How_ != Fate::Dies)
      std::visit([&](const auto &What) { carryOut(Current, What); }, Action);
  }

private:
  TransactOutcome transact(const TableTransaction &Transaction) {
    switch (How_) {
    case Fate::Refused:
      return TableUnavailable{};
    case Fate::ReplyLost:
      World_.Store_.apply(Transaction);
      return lostReply();
    case Fate::EffectLater:
      World_.Late_.push_back(Transaction);
      return lostReply();
    default:
      return World_.Store_.apply(Transaction);
    }
  }

  TransactOutcome lostReply() const {
    if (World_.TrustsLostReplies_)
      return TableCommitted{1};
    return TableUnknown{};
  }

  void carryOut(ModelCall &Of, const WriteLedger &Write) {
    Of.Next_ = Of.Call_.onTransact(transact(Write.Transaction_), TimePoint(0s));
  }
  void carryOut(ModelCall &Of, const ReadLedger &Read) {
    ReadOutcome Outcome = World_.Store_.read(Read.Key_);
    if (How_ != Fate::Regular)
      Outcome = TableUnavailable{};
    Of.Next_ = Of.Call_.onRead(Outcome, TimePoint(0s));
  }
  void carryOut(ModelCall &Of, const SendToBackend & /*Send*/) {
    const auto Index = static_cast<std::size_t>(Index_);
    if (How_ == Fate::Refused) {
      World_.Store_.apply(Of.Call_.recordNotStarted());
      World_.SaidNotRun_[Index] = true;
      return;
    }
    ++World_.Executions_;
    World_.Executed_[Index] = true;
    const bool IsAnswered = How_ == Fate::Regular;
    World_.Store_.apply(IsAnswered ? Of.Call_.recordAnswer({201, "", "done"})
                                   : Of.Call_.recordUnknown());
  }
  void carryOut(ModelCall & /*Of*/, const WaitForHolder & /*Wait*/) {}
  void carryOut(ModelCall & /*Of*/, const AnswerCaller & /*Answer*/) {}
  void carryOut(ModelCall & /*Of*/, const Refusal &Why) {
    World_.SaidNotRun_[static_cast<std::size_t>(Index_)] =
        Why.Execution_ == Execution::NotRun;
  }

  World &World_;
  int Index_;
  Fate How_;
};

/// Walks through every interleaving and every choice of faults.
class Explorer {
public:
  void explore(const World &From) {
    check(From);
    for (std::size_t I = 0; I < From.Late_.size(); ++I)
      exploreLate(From, I);
    for (int Index = 0; Index < CallCount; ++Index)
      if (From.Calls_[static_cast<std::size_t>(Index)].Next_)
        exploreStep(From, Index);
  }

  std::uint64_t states() const { return States_; }
  bool isHolding() const { return Holding_; }
  bool hasRun() const { return HasRun_; }

private:
  void check(const World &Now) {
    ++States_;
    HasRun_ = HasRun_ || Now.Executions_ > 0;
    Holding_ = Holding_ && Now.Executions_ <= 1;
    for (std::size_t I = 0; I < CallCount; ++I)
      Holding_ = Holding_ && !(Now.SaidNotRun_[I] && Now.Executed_[I]);
  }

  void exploreLate(const World &From, std::size_t Index) {
    World Next = From;
    Next.Store_.apply(Next.Late_[Index]);
    Next.Late_.erase(Next.Late_.begin() + static_cast<long>(Index));
    explore(Next);
  }

  void exploreStep(const World &From, int Index) {
    for (const Fate How : Fates) {
      const bool IsFault = How != Fate::Regular;
      if (IsFault && From.Faults_ == MaxFaults)
        continue;
      World Next = From;
      Next.Faults_ += IsFault ? 1 : 0;
      Step(Next, Index, How).run();
      explore(Next);
    }
  }

  std::uint64_t States_ = 0;
  bool Holding_ = true;
  bool HasRun_ = false;
};

} // namespace

TEST_CASE("Every interleaving of two repeats with up to three faults runs the "
          "request at most once",
          "[idempotency][model]") {
  Explorer Exhaustive;
  Exhaustive.explore(makeWorld());
  CHECK(Exhaustive.isHolding());
  CHECK(Exhaustive.hasRun());
  CHECK(Exhaustive.states() > 1000);
  SECTION("and finds a call that trusts a lost reply") {
    World Broken = makeWorld();
    Broken.TrustsLostReplies_ = true;
    Explorer OfBroken;
    OfBroken.explore(Broken);
    CHECK_FALSE(OfBroken.isHolding());
  }
}
