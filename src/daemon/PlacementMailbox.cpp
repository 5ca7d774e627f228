#include "gooseberrybeam/daemon/PlacementMailbox.h"

#include <boost/asio/post.hpp>

namespace gooseberry {

PlacementMailbox::Interruptible::Interruptible(PlacementMailbox &Box,
                                               CancelScope &Step)
    : Box_(Box) {
  Box_.Step_ = &Step;
  if (Box_.hasAction())
    Step.cancel(RefusalReason::Internal);
}

PlacementMailbox::PlacementMailbox(const asio::any_io_executor &Executor)
    : Executor_(Executor),
      Wake_(Executor, asio::steady_timer::time_point::max()) {}

void PlacementMailbox::post(DispatchAction Action) {
  asio::post(Executor_,
             [Self = shared_from_this(), Moved = std::move(Action)]() mutable {
               Self->deliver(std::move(Moved));
             });
}

void PlacementMailbox::deliver(DispatchAction Action) {
  Actions_.push_back(std::move(Action));
  Wake_.cancel();
  if (CancelScope *Step = std::exchange(Step_, nullptr))
    Step->cancel(RefusalReason::Internal);
}

Task<std::optional<DispatchAction>> PlacementMailbox::next(CancelScope &Scope) {
  CancelScope::Guard Guard(Scope, [this] { Wake_.cancel(); });
  while (Actions_.empty()) {
    if (Scope.isCancelled())
      co_return std::nullopt;
    co_await Wake_.async_wait(AsTuple);
  }
  DispatchAction Action = std::move(Actions_.front());
  Actions_.pop_front();
  co_return Action;
}

} // namespace gooseberry
