#include "gooseberrybeam/idempotency/IdempotentCall.h"
#include "support/RowStore.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <set>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{};

IdempotentRequest makeRequest(std::string Nonce,
                              const std::string &Body = "slot 4") {
  IdempotentRequest Request;
  Request.RowKey_ = idempotencyRowKey(OrganisationId{"club"}, "key-1");
  Request.Fingerprint_ = requestFingerprint("POST", "/track/book", Body);
  Request.Holder_ = "entry-" + Nonce + "#1";
  Request.Nonce_ = std::move(Nonce);
  Request.NowUnixSeconds_ = 1000;
  Request.ExpiresAtUnixSeconds_ = 1000 + 86400;
  Request.Deadline_ = Start + 1s;
  return Request;
}

IdempotentCall makeCall(std::string Nonce, const std::string &Body = "slot 4",
                        bool HolderGone = false) {
  return IdempotentCall(makeRequest(std::move(Nonce), Body),
                        [HolderGone](std::string_view) { return HolderGone; });
}

IdempotencyAction runInsert(RowStore &Store, IdempotentCall &Call) {
  const IdempotencyAction First = Call.start();
  return Call.onTransact(
      Store.apply(std::get<WriteIdempotencyRow>(First).Transaction_), Start);
}

template <typename T> bool holds(const IdempotencyAction &Action) {
  return std::holds_alternative<T>(Action);
}

} // namespace

TEST_CASE("A request with an idempotency key runs at most once",
          "[idempotency]") {
  RowStore Store;
  IdempotentCall First = makeCall("a");
  REQUIRE(holds<SendToBackend>(runInsert(Store, First)));
  const StoredAnswer Answer{201, "application/json", R"({"slot":4})"};

  SECTION("a repeat waits while the first request runs") {
    IdempotentCall Repeat = makeCall("b");
    CHECK(holds<WaitForHolder>(runInsert(Store, Repeat)));
    SECTION("and is refused as in progress past its deadline") {
      const auto LateOutcome =
          Repeat.onRead(Store.read(makeRequest("b").RowKey_), Start + 2s);
      CHECK(std::get<Refusal>(LateOutcome).Reason_ ==
            RefusalReason::IdempotencyInProgress);
    }
    SECTION("and receives the first answer once it is recorded") {
      Store.apply(First.recordAnswer(Answer));
      const auto Next =
          Repeat.onRead(Store.read(makeRequest("b").RowKey_), Start + 50ms);
      REQUIRE(holds<AnswerCaller>(Next));
      CHECK(std::get<AnswerCaller>(Next).Answer_ == Answer);
      CHECK(std::get<AnswerCaller>(Next).Replayed_);
    }
  }
  SECTION("a repeat is refused as unknown if the first holder has failed") {
    IdempotentCall Repeat = makeCall("b", "slot 4", true);
    const auto Next = runInsert(Store, Repeat);
    CHECK(std::get<Refusal>(Next).Reason_ == RefusalReason::OutcomeUnknown);
    CHECK(std::get<Refusal>(Next).Execution_ == Execution::Unknown);
  }
  SECTION("the same key with another body is refused") {
    IdempotentCall Other = makeCall("b", "slot 9");
    const auto Next = runInsert(Store, Other);
    CHECK(std::get<Refusal>(Next).Reason_ ==
          RefusalReason::IdempotencyKeyReused);
    CHECK(std::get<Refusal>(Next).Execution_ == Execution::NotRun);
  }
  SECTION("a request that no backend server started may be repeated") {
    Store.apply(First.recordNotStarted());
    IdempotentCall Repeat = makeCall("b");
    CHECK(holds<SendToBackend>(runInsert(Store, Repeat)));
  }
  SECTION("an unknown outcome is recorded") {
    Store.apply(First.recordUnknown());
    IdempotentCall Repeat = makeCall("b");
    CHECK(std::get<Refusal>(runInsert(Store, Repeat)).Reason_ ==
          RefusalReason::OutcomeUnknown);
  }
  SECTION("a request costs two table writes") {
    Store.apply(First.recordAnswer(Answer));
    CHECK(Store.commitCount() == 2);
  }
  SECTION("an expired record is replaced") {
    IdempotentRequest Later = makeRequest("b");
    Later.NowUnixSeconds_ = Later.ExpiresAtUnixSeconds_ + 1;
    IdempotentCall Call(Later, [](std::string_view) { return false; });
    CHECK(holds<WriteIdempotencyRow>(runInsert(Store, Call)));
  }
}

TEST_CASE("Faults of the table service do not let a request run twice",
          "[idempotency]") {
  RowStore Store;
  IdempotentCall Call = makeCall("a");
  const auto Insert = std::get<WriteIdempotencyRow>(Call.start());
  SECTION("while it is down a request is refused as not run") {
    const auto Next = Call.onTransact(TableUnavailable{}, Start);
    CHECK(std::get<Refusal>(Next).Execution_ == Execution::NotRun);
    CHECK_FALSE(Call.mayHaveOrphanedRow());
  }
  SECTION("after a lost reply the row is read before the request is sent") {
    Store.apply(Insert.Transaction_);
    REQUIRE(holds<ReadIdempotencyRow>(Call.onTransact(TableUnknown{}, Start)));
    SECTION("and the call recognises its own row") {
      CHECK(holds<SendToBackend>(
          Call.onRead(Store.read(makeRequest("a").RowKey_), Start)));
    }
    SECTION("or is refused as not run and removes the row later") {
      const auto Next = Call.onRead(TableUnavailable{}, Start);
      CHECK(std::get<Refusal>(Next).Execution_ == Execution::NotRun);
      REQUIRE(Call.mayHaveOrphanedRow());
      const auto Row =
          std::get<TableRows>(Store.read(makeRequest("a").RowKey_)).Rows_.at(0);
      Store.apply(Call.removeOrphanedRow(Row).value());
      IdempotentCall Repeat = makeCall("b");
      CHECK(holds<SendToBackend>(runInsert(Store, Repeat)));
    }
  }
  SECTION("a delayed insert conflicts with the one that replaced it") {
    Call.onTransact(TableUnknown{}, Start);
    const auto Retry = Call.onRead(TableRows{}, Start);
    const auto LateOutcome = Store.apply(Insert.Transaction_);
    REQUIRE(std::holds_alternative<TableCommitted>(LateOutcome));
    const auto Outcome =
        Store.apply(std::get<WriteIdempotencyRow>(Retry).Transaction_);
    REQUIRE(std::holds_alternative<TableConflict>(Outcome));
    CHECK(holds<SendToBackend>(Call.onTransact(Outcome, Start)));
  }
}

namespace {

/// One caller of a history.
struct Caller {
  std::unique_ptr<IdempotentCall> Call_;
  IdempotencyAction Next_;
  bool Ended_ = false;
  bool Executed_ = false;
  bool ReportedNotRun_ = false;
};

/// Runs repeats of one key on several instances, interleaved in a seeded order,
/// over a table that refuses transactions, loses replies and applies writes
/// late.
class IdempotencyHistory {
public:
  /// \param Seed the seed of the random choices.
  /// \param TrustLostReplies whether to run a faulty variant that takes a lost
  /// reply for a commit.
  IdempotencyHistory(unsigned Seed, bool TrustLostReplies)
      : Random_(Seed), TrustLostReplies_(TrustLostReplies) {}

  void run() {
    for (int I = 0; I < 5; ++I)
      addCaller();
    for (int Step = 0; Step < 400; ++Step)
      runStep();
  }

  int executions() const { return Executions_; }

  bool isNotRunReportCorrect() const {
    for (const Caller &Each : Callers_)
      if (Each.ReportedNotRun_ && Each.Executed_)
        return false;
    return true;
  }

private:
  void addCaller() {
    const std::string Nonce = std::to_string(Callers_.size());
    IdempotentRequest Request = makeRequest(Nonce);
    auto IsGone = [this](std::string_view Holder) {
      return TerminatedHolders_.count(std::string(Holder)) != 0;
    };
    Caller Added;
    Added.Call_ = std::make_unique<IdempotentCall>(Request, IsGone);
    Added.Next_ = Added.Call_->start();
    Callers_.push_back(std::move(Added));
  }

  void runStep() {
    Now_ += 10ms;
    if (!LateWrites_.empty() && Random_() % 4 == 0) {
      Store_.apply(LateWrites_.back());
      LateWrites_.pop_back();
    }
    const std::size_t Index = Random_() % Callers_.size();
    Caller &Selected = Callers_[Index];
    if (Selected.Ended_)
      return;
    if (Random_() % 40 == 0) {
      TerminatedHolders_.insert(makeRequest(std::to_string(Index)).Holder_);
      Selected.Ended_ = true;
      return;
    }
    std::visit([&](const auto &Action) { carryOut(Selected, Action); },
               IdempotencyAction(Selected.Next_));
  }

  void carryOut(Caller &Selected, const WriteIdempotencyRow &Write) {
    Selected.Next_ =
        Selected.Call_->onTransact(transact(Write.Transaction_), Now_);
  }

  TransactOutcome transact(const TableTransaction &Transaction) {
    switch (Random_() % 5) {
    case 0:
      return TableUnavailable{};
    case 1:
      LateWrites_.push_back(Transaction);
      return lostReply();
    case 2:
      Store_.apply(Transaction);
      return lostReply();
    default:
      return Store_.apply(Transaction);
    }
  }

  TransactOutcome lostReply() const {
    if (TrustLostReplies_)
      return TableCommitted{1};
    return TableUnknown{};
  }

  void carryOut(Caller &Selected, const ReadIdempotencyRow &Read) {
    ReadOutcome Outcome = Store_.read(Read.Key_);
    if (Random_() % 5 == 0)
      Outcome = TableUnavailable{};
    Selected.Next_ = Selected.Call_->onRead(Outcome, Now_);
  }

  void carryOut(Caller &Selected, const WaitForHolder & /*Wait*/) {
    Selected.Next_ = Selected.Call_->onTimer();
  }

  void carryOut(Caller &Selected, const SendToBackend & /*Send*/) {
    if (Random_() % 4 == 0) {
      Store_.apply(Selected.Call_->recordNotStarted());
      end(Selected, Execution::NotRun);
      return;
    }
    ++Executions_;
    Selected.Executed_ = true;
    if (Random_() % 3 == 0)
      transact(Selected.Call_->recordUnknown());
    else
      transact(Selected.Call_->recordAnswer(StoredAnswer{201, "", "done"}));
    end(Selected, Execution::Unknown);
  }

  void carryOut(Caller &Selected, const AnswerCaller & /*Answer*/) {
    end(Selected, Execution::Unknown);
  }

  void carryOut(Caller &Selected, const Refusal &Denied) {
    end(Selected, Denied.Execution_);
  }

  void end(Caller &Selected, Execution Reported) {
    Selected.Ended_ = true;
    Selected.ReportedNotRun_ = Reported == Execution::NotRun;
    if (Callers_.size() < 12)
      addCaller();
  }

  std::mt19937 Random_;
  bool TrustLostReplies_;
  RowStore Store_;
  std::vector<Caller> Callers_;
  std::vector<TableTransaction> LateWrites_;
  std::set<std::string> TerminatedHolders_;
  TimePoint Now_ = Start;
  int Executions_ = 0;
};

} // namespace

TEST_CASE("Repeats in random histories run the request at most once",
          "[idempotency][history]") {
  int TotalExecutions = 0;
  for (unsigned Seed = 1; Seed <= 1000; ++Seed) {
    IdempotencyHistory History(Seed, false);
    History.run();
    INFO("seed " << Seed);
    REQUIRE(History.executions() <= 1);
    REQUIRE(History.isNotRunReportCorrect());
    TotalExecutions += History.executions();
  }
  CHECK(TotalExecutions > 0);
  SECTION("the checker detects a call that takes a lost reply for a commit") {
    int DoubleExecutions = 0;
    for (unsigned Seed = 1; Seed <= 100; ++Seed) {
      IdempotencyHistory History(Seed, true);
      History.run();
      DoubleExecutions += History.executions() > 1 ? 1 : 0;
    }
    CHECK(DoubleExecutions > 0);
  }
}
