#include "gooseberrybeam/daemon/TokenReservation.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>

#include <memory>
#include <utility>

namespace gooseberry {
namespace {

using Answer = ClusterDesk::ReserveAnswer;

/// Asks the control thread and resumes on the worker's thread.
Task<Answer> askLedger(WorkerContext &Worker, OrganisationId Organisation,
                       std::int64_t Tokens, TimePoint HoldUntil,
                       CancelScope &Scope) {
  // The frame of this task lives as long as the reservation waits.
  const auto Ticket = reinterpret_cast<ReserveTicket>(&Scope);
  const CancelScope::Guard Guard(Scope, [&Worker, Ticket] {
    Worker.tellCluster([Ticket](ClusterDesk &Desk) { Desk.withdraw(Ticket); });
  });
  auto Start = [&](auto Handler) {
    auto Shared = std::make_shared<decltype(Handler)>(std::move(Handler));
    auto Resume = [Shared, &Context = Worker.Context_](const Answer &Value) {
      asio::post(Context, [Shared, Value] { (*Shared)(Value); });
    };
    Worker.tellCluster(
        [Resume, Organisation, Tokens, HoldUntil, Ticket](ClusterDesk &Desk) {
          Desk.reserve(Organisation, Tokens, HoldUntil, Ticket, Resume);
        });
  };
  co_return co_await asio::async_initiate<decltype(asio::use_awaitable),
                                          void(Answer)>(Start,
                                                        asio::use_awaitable);
}

} // namespace

Task<TokenReservation::Made> TokenReservation::make(WorkerContext &Worker,
                                                    OrganisationId Organisation,
                                                    std::int64_t Tokens,
                                                    TimePoint HoldUntil,
                                                    CancelScope &Scope) {
  if (Organisation.isEmpty())
    co_return TokenReservation(Worker, std::nullopt);
  if (const auto Reason = Scope.reason())
    co_return Refusal{*Reason, Execution::NotRun, std::nullopt};
  const Answer Value =
      co_await askLedger(Worker, Organisation, Tokens, HoldUntil, Scope);
  if (isOk(Value))
    co_return TokenReservation(Worker, valueOf(Value));
  if (const auto Reason = Scope.reason())
    co_return Refusal{*Reason, Execution::NotRun, std::nullopt};
  const LimitRefused &Refused = errorOf(Value);
  co_return Refusal{Refused.Reason_, Execution::NotRun, Refused.RetryAfter_};
}

TokenReservation::TokenReservation(TokenReservation &&Other) noexcept
    : Worker_(Other.Worker_), Ref_(std::exchange(Other.Ref_, std::nullopt)),
      Used_(Other.Used_) {}

TokenReservation::~TokenReservation() {
  if (!Ref_)
    return;
  Worker_.tellCluster([Ref = *Ref_, Used = Used_](ClusterDesk &Desk) {
    Desk.settle(Ref, Used);
  });
}

} // namespace gooseberry
