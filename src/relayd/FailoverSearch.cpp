#include "gooseberrybeam/relayd/FailoverSearch.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "relayd/ScopedWait.h"

#include <utility>

namespace gooseberry {

/// Shared with the coroutine, which may end after the search.
struct FailoverSearch::State {
  asio::io_context &Context_;
  HomeLink &Home_;
  StallFailover Failover_;
  Callbacks Callbacks_;
  CancelScope CallScope_;
  CancelScope *PlacementScope_ = nullptr; ///< Of the request under way.
  std::optional<PlacementGrant> Replacement_;
};

FailoverSearch::FailoverSearch(asio::io_context &Context, HomeLink &Home,
                               CancelScope &Parent, StallFailover Failover,
                               Callbacks Handlers)
    : State_(new State{
          Context, Home, Failover, std::move(Handlers), {}, nullptr, {}}),
      ParentLink_(Parent, [this, &Parent] {
        State_->CallScope_.cancel(
            Parent.reason().value_or(RefusalReason::ClientGone));
      }) {
  if (Parent.isCancelled())
    State_->CallScope_.cancel(*Parent.reason());
  else
    spawnTask(Context, "failover search", run(State_));
}

FailoverSearch::~FailoverSearch() {
  State_->CallScope_.cancel(RefusalReason::BackendTimeout);
}

CancelScope &FailoverSearch::callScope() { return State_->CallScope_; }

const std::optional<PlacementGrant> &FailoverSearch::replacement() const {
  return State_->Replacement_;
}

void FailoverSearch::onHead() {
  onProgress(State_->Failover_.onHead(readBootClock()));
}

void FailoverSearch::onWrite() { onProgress(State_->Failover_.onWrite()); }

void FailoverSearch::onEvent() {
  onProgress(State_->Failover_.onEvent(readBootClock()));
}

void FailoverSearch::onProgress(bool HadStalled) {
  if (State_->PlacementScope_)
    State_->PlacementScope_->cancel(RefusalReason::BackendTimeout);
  if (HadStalled && !State_->Replacement_)
    State_->Callbacks_.OnResume_();
}

Task<void> FailoverSearch::run(std::shared_ptr<State> Shared) {
  State &Search = *Shared;
  while (!Search.CallScope_.isCancelled()) {
    const Duration Wait = Search.Failover_.timeToSearch(readBootClock());
    if (Wait > Duration::zero()) {
      co_await waitFor(Search.Context_, Wait, Search.CallScope_);
      continue;
    }
    if (Search.Failover_.beginSearch())
      Search.Callbacks_.OnStall_();
    const auto Request = Search.Callbacks_.MakeRequest_();
    if (Request)
      co_await search(Shared, *Request);
    else
      Search.Failover_.onDenied(Duration::zero(), readBootClock());
  }
}

Task<void> FailoverSearch::search(std::shared_ptr<State> Shared,
                                  PlacementRequest Request) {
  State &Search = *Shared;
  std::optional<PlacementAnswer> Answer;
  {
    CancelScope Scope;
    CancelScope::Guard Link(Search.CallScope_, [&Scope] {
      Scope.cancel(RefusalReason::BackendTimeout);
    });
    Search.PlacementScope_ = &Scope;
    Answer = co_await Search.Home_.place(std::move(Request), Scope);
    Search.PlacementScope_ = nullptr;
  }
  const auto *Grant = Answer ? std::get_if<PlacementGrant>(&*Answer) : nullptr;
  const auto *Denial =
      Answer ? std::get_if<PlacementDenial>(&*Answer) : nullptr;
  const bool IsUsed = Grant && !Search.CallScope_.isCancelled() &&
                      Search.Failover_.onGranted() &&
                      Search.Callbacks_.Accept_(*Grant);
  if (IsUsed) {
    Search.Replacement_ = *Grant;
    Search.CallScope_.cancel(RefusalReason::BackendTimeout);
    co_return;
  }
  if (Grant)
    Search.Home_.report(
        {Grant->Request_, GenerationStep::Ended, {}, 0, {}, {}});
  const Duration RetryAfter =
      Denial && Denial->RetryAfter_ ? *Denial->RetryAfter_ : Duration::zero();
  Search.Failover_.onDenied(RetryAfter, readBootClock());
}

} // namespace gooseberry
