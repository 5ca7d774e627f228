#include "daemon/LedgerCall.h"

#include "gooseberrybeam/http/HopByHop.h"
#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"
#include "tableclient/TableAwait.h"

#include <boost/asio/steady_timer.hpp>

namespace gooseberry {
namespace {

constexpr std::string_view KeyField = "Idempotency-Key";
constexpr std::string_view ReplayField = "Idempotency-Replayed";
constexpr std::int64_t LifetimeSeconds = 24LL * 3600;
constexpr int RecordAttempts = 20;
constexpr Duration RecordPause = std::chrono::milliseconds(250);

std::int64_t unixSeconds() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(Now).count();
}

IdempotentRequest makeRequest(const WorkerContext &Worker,
                              CallerExchange &Exchange, const ServiceJob &Job) {
  const auto &Head = Exchange.head();
  IdempotentRequest Request;
  Request.RowKey_ = idempotencyRowKey(Job.Identity_.Organisation_,
                                      asStd(Head[asBeast(KeyField)]));
  Request.Fingerprint_ = requestFingerprint(asStd(Head.method_string()),
                                            asStd(Head.target()), Job.Body_);
  Request.Holder_ = Worker.Holder_;
  Request.Nonce_ = Exchange.id().Value_;
  Request.NowUnixSeconds_ = unixSeconds();
  Request.ExpiresAtUnixSeconds_ = Request.NowUnixSeconds_ + LifetimeSeconds;
  Request.Deadline_ = Exchange.deadline();
  return Request;
}

/// Writes a record beside the answer; stops once its fate is known.
Task<void> writeRecord(WorkerContext &Worker, TableTransaction Transaction,
                       RequestId Request, InFlightMark /*Mark*/) {
  asio::steady_timer Pause(Worker.Context_);
  for (int Attempt = 0; Attempt != RecordAttempts; ++Attempt) {
    const auto Outcome = co_await awaitTransact(Worker.Table_, Transaction);
    // A conflict after a lost reply means that the write has taken effect.
    if (std::holds_alternative<TableCommitted>(Outcome) ||
        std::holds_alternative<TableConflict>(Outcome))
      co_return;
    Pause.expires_after(RecordPause);
    co_await Pause.async_wait(AsTuple);
  }
  logLine(LogPart::Service, LogLevel::Error, "Ledger row was not completed.",
          {{"request", Request.Value_}});
}

/// Removes a row that a lost insert may have left.
Task<void> removeLeftRow(WorkerContext &Worker, IdempotentCall Call,
                         std::string RowKey, InFlightMark /*Mark*/) {
  asio::steady_timer Pause(Worker.Context_);
  for (int Attempt = 0; Attempt != RecordAttempts; ++Attempt) {
    Pause.expires_after(RecordPause);
    co_await Pause.async_wait(AsTuple);
    TableQuery Query;
    Query.Keys_.push_back(RowKey);
    const auto Read = co_await awaitRead(Worker.Table_, std::move(Query));
    const auto *Rows = std::get_if<TableRows>(&Read);
    if (!Rows || Rows->Rows_.empty())
      continue;
    auto Removal = Call.removeOrphanedRow(Rows->Rows_.front());
    if (!Removal)
      co_return;
    const auto Outcome =
        co_await awaitTransact(Worker.Table_, std::move(*Removal));
    if (std::holds_alternative<TableCommitted>(Outcome))
      co_return;
  }
}

} // namespace

LedgerCall::LedgerCall(WorkerContext &Worker, ServiceProxy &Proxy,
                       CallerExchange &Exchange, const ServiceJob &Job)
    : Worker_(Worker), Proxy_(Proxy), Exchange_(Exchange), Job_(Job),
      RowKey_(idempotencyRowKey(Job.Identity_.Organisation_,
                                asStd(Exchange.head()[asBeast(KeyField)]))),
      Call_(makeRequest(Worker, Exchange, Job),
            [&Worker](std::string_view Holder) {
              return Worker.State_.isHolderGone(Holder);
            }) {}

Task<std::optional<CallerError>> LedgerCall::run() {
  IdempotencyAction Action = Call_.start();
  for (;;) {
    if (std::holds_alternative<SendToBackend>(Action))
      co_return co_await send();
    if (auto *Answer = std::get_if<AnswerCaller>(&Action)) {
      co_await answer(std::move(Answer->Answer_), Answer->Replayed_);
      co_return std::nullopt;
    }
    if (const auto *Refused = std::get_if<Refusal>(&Action))
      co_return co_await refuse(*Refused);
    Action = co_await perform(std::move(Action));
  }
}

Task<IdempotencyAction> LedgerCall::perform(IdempotencyAction Action) {
  if (auto *Write = std::get_if<WriteIdempotencyRow>(&Action)) {
    const auto Outcome =
        co_await awaitTransact(Worker_.Table_, std::move(Write->Transaction_));
    co_return Call_.onTransact(Outcome, readBootClock());
  }
  if (const auto *Read = std::get_if<ReadIdempotencyRow>(&Action)) {
    TableQuery Query;
    Query.Keys_.push_back(Read->Key_);
    const auto Outcome = co_await awaitRead(Worker_.Table_, std::move(Query));
    co_return Call_.onRead(Outcome, readBootClock());
  }
  asio::steady_timer Timer(Worker_.Context_);
  Timer.expires_after(std::get<WaitForHolder>(Action).Delay_);
  co_await Timer.async_wait(AsTuple);
  co_return Call_.onTimer();
}

Task<std::optional<CallerError>> LedgerCall::send() {
  auto Reply = co_await Proxy_.send(Exchange_, Job_);
  if (!isOk(Reply)) {
    const Refusal &Why = errorOf(Reply);
    record(Why.Execution_ == Execution::NotRun ? Call_.recordNotStarted()
                                               : Call_.recordUnknown());
    co_return co_await refuse(Why);
  }
  HttpReply Value = takeValue(std::move(Reply));
  StoredAnswer Stored;
  Stored.Status_ = Value.Head_.Status_;
  Stored.ContentType_ = std::string(asStd(Value.Head_.Fields_["Content-Type"]));
  Stored.Body_ = Value.Body_;
  record(Call_.recordAnswer(Stored));
  removeHopByHop(Value.Head_.Fields_);
  co_await Exchange_.answer(Value.Head_.Status_, std::move(Value.Head_.Fields_),
                            std::move(Value.Body_));
  Worker_.State_.Metrics_.add(Count::AnswersService);
  co_return std::nullopt;
}

Task<void> LedgerCall::answer(StoredAnswer Answer, bool IsReplay) {
  HttpFields Fields;
  Fields.set(beast::http::field::content_type, Answer.ContentType_);
  if (IsReplay) {
    Worker_.State_.Metrics_.add(Count::IdempotencyReplays);
    Fields.set(asBeast(ReplayField), "true");
  }
  co_await Exchange_.answer(Answer.Status_, std::move(Fields),
                            std::move(Answer.Body_));
}

Task<std::optional<CallerError>> LedgerCall::refuse(Refusal Why) {
  if (Call_.mayHaveOrphanedRow())
    spawnTask(
        Worker_.Context_, "removal of a ledger row",
        removeLeftRow(Worker_, Call_, RowKey_, InFlightMark(Worker_.State_)));
  CallerError Error = {Why, "", ""};
  co_await Exchange_.refuse(Error);
  co_return Error;
}

void LedgerCall::record(TableTransaction Transaction) {
  spawnTask(Worker_.Context_, "ledger row",
            writeRecord(Worker_, std::move(Transaction), Exchange_.id(),
                        InFlightMark(Worker_.State_)));
}

} // namespace gooseberry
