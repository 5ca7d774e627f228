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

/// The possible outcomes of one step of a call.
enum class StepOutcome : std::uint8_t {
  Regular,
  Refused,     ///< The table refuses, or no backend server starts the request.
  ReplyLost,   ///< It takes effect, but its reply is lost.
  EffectLater, ///< Its reply is lost and it takes effect at a later step.
  Crashed,     ///< The call's instance fails before this step.
};
constexpr std::array StepOutcomes = {
    StepOutcome::Regular, StepOutcome::Refused, StepOutcome::ReplyLost,
    StepOutcome::EffectLater, StepOutcome::Crashed};

/// One call and its next action, which is empty once the call has ended.
struct ModelCall {
  IdempotentCall Call_;
  std::optional<IdempotencyAction> Next_;
};

/// The state of the table and of two calls with the same key on two instances.
struct ModelState {
  RowStore Store_;
  std::vector<ModelCall> Calls_;
  std::vector<TableTransaction> DelayedWrites_;
  int Faults_ = 0;
  bool TrustsLostReplies_ = false; ///< Runs a faulty variant.
  int Executions_ = 0;
  std::array<bool, CallCount> Executed_ = {};
  std::array<bool, CallCount> ReportedNotRun_ = {};
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

ModelState makeInitialState() {
  ModelState Initial;
  for (int I = 0; I < CallCount; ++I) {
    IdempotentCall Call(makeRequest(I), [](std::string_view) { return false; });
    const IdempotencyAction First = Call.start();
    Initial.Calls_.push_back({std::move(Call), First});
  }
  return Initial;
}

/// Carries out one step of one call with a given outcome.
class StepRunner {
public:
  StepRunner(ModelState &State, int Index, StepOutcome Outcome)
      : State_(State), Index_(Index), Outcome_(Outcome) {}

  void run() {
    ModelCall &Current = State_.Calls_[static_cast<std::size_t>(Index_)];
    const IdempotencyAction Action = *Current.Next_;
    Current.Next_.reset();
    if (Outcome_ != StepOutcome::Crashed)
      std::visit([&](const auto &Pending) { carryOut(Current, Pending); },
                 Action);
  }

private:
  TransactOutcome transact(const TableTransaction &Transaction) {
    switch (Outcome_) {
    case StepOutcome::Refused:
      return TableUnavailable{};
    case StepOutcome::ReplyLost:
      State_.Store_.apply(Transaction);
      return lostReply();
    case StepOutcome::EffectLater:
      State_.DelayedWrites_.push_back(Transaction);
      return lostReply();
    default:
      return State_.Store_.apply(Transaction);
    }
  }

  TransactOutcome lostReply() const {
    if (State_.TrustsLostReplies_)
      return TableCommitted{1};
    return TableUnknown{};
  }

  void carryOut(ModelCall &Call, const WriteIdempotencyRow &Write) {
    Call.Next_ =
        Call.Call_.onTransact(transact(Write.Transaction_), TimePoint(0s));
  }
  void carryOut(ModelCall &Call, const ReadIdempotencyRow &Read) {
    ReadOutcome Outcome = State_.Store_.read(Read.Key_);
    if (Outcome_ != StepOutcome::Regular)
      Outcome = TableUnavailable{};
    Call.Next_ = Call.Call_.onRead(Outcome, TimePoint(0s));
  }
  void carryOut(ModelCall &Call, const SendToBackend & /*Send*/) {
    const auto Index = static_cast<std::size_t>(Index_);
    if (Outcome_ == StepOutcome::Refused) {
      State_.Store_.apply(Call.Call_.recordNotStarted());
      State_.ReportedNotRun_[Index] = true;
      return;
    }
    ++State_.Executions_;
    State_.Executed_[Index] = true;
    const bool IsAnswered = Outcome_ == StepOutcome::Regular;
    State_.Store_.apply(IsAnswered ? Call.Call_.recordAnswer({201, "", "done"})
                                   : Call.Call_.recordUnknown());
  }
  void carryOut(ModelCall & /*Call*/, const WaitForHolder & /*Wait*/) {}
  void carryOut(ModelCall & /*Call*/, const AnswerCaller & /*Answer*/) {}
  void carryOut(ModelCall & /*Call*/, const Refusal &Denied) {
    State_.ReportedNotRun_[static_cast<std::size_t>(Index_)] =
        Denied.Execution_ == Execution::NotRun;
  }

  ModelState &State_;
  int Index_;
  StepOutcome Outcome_;
};

/// Explores every interleaving and every choice of faults.
class StateExplorer {
public:
  void explore(const ModelState &State) {
    check(State);
    for (std::size_t I = 0; I < State.DelayedWrites_.size(); ++I)
      exploreDelayedWrite(State, I);
    for (int Index = 0; Index < CallCount; ++Index)
      if (State.Calls_[static_cast<std::size_t>(Index)].Next_)
        exploreStep(State, Index);
  }

  std::uint64_t stateCount() const { return States_; }
  bool holdsInvariants() const { return HoldsInvariants_; }
  bool hasRun() const { return HasRun_; }

private:
  void check(const ModelState &State) {
    ++States_;
    HasRun_ = HasRun_ || State.Executions_ > 0;
    HoldsInvariants_ = HoldsInvariants_ && State.Executions_ <= 1;
    for (std::size_t I = 0; I < CallCount; ++I)
      HoldsInvariants_ =
          HoldsInvariants_ && !(State.ReportedNotRun_[I] && State.Executed_[I]);
  }

  void exploreDelayedWrite(const ModelState &State, std::size_t Index) {
    ModelState Next = State;
    Next.Store_.apply(Next.DelayedWrites_[Index]);
    Next.DelayedWrites_.erase(Next.DelayedWrites_.begin() +
                              static_cast<long>(Index));
    explore(Next);
  }

  void exploreStep(const ModelState &State, int Index) {
    for (const StepOutcome Outcome : StepOutcomes) {
      const bool IsFault = Outcome != StepOutcome::Regular;
      if (IsFault && State.Faults_ == MaxFaults)
        continue;
      ModelState Next = State;
      Next.Faults_ += IsFault ? 1 : 0;
      StepRunner(Next, Index, Outcome).run();
      explore(Next);
    }
  }

  std::uint64_t States_ = 0;
  bool HoldsInvariants_ = true;
  bool HasRun_ = false;
};

} // namespace

TEST_CASE("Every interleaving of two repeats with up to three faults runs the "
          "request at most once",
          "[idempotency][model]") {
  StateExplorer Explorer;
  Explorer.explore(makeInitialState());
  CHECK(Explorer.holdsInvariants());
  CHECK(Explorer.hasRun());
  CHECK(Explorer.stateCount() > 1000);
  SECTION("and the exploration detects a call that takes a lost reply for a "
          "commit") {
    ModelState Broken = makeInitialState();
    Broken.TrustsLostReplies_ = true;
    StateExplorer BrokenExplorer;
    BrokenExplorer.explore(Broken);
    CHECK_FALSE(BrokenExplorer.holdsInvariants());
  }
}
