#include "gooseberrybeam/http/CancelScope.h"

#include <algorithm>
#include <utility>

namespace gooseberry {

CancelScope::Guard::Guard(CancelScope &Scope, Abort Handler)
    : Scope_(Scope), Handler_(std::move(Handler)) {
  Scope_.Guards_.push_back(this);
}

CancelScope::Guard::~Guard() { std::erase(Scope_.Guards_, this); }

void CancelScope::cancel(RefusalReason Reason) {
  if (Reason_)
    return;
  Reason_ = Reason;
  // A handler may destroy its guard, so that iterators would not stay valid.
  auto Pending = std::exchange(Guards_, {});
  for (Guard *Each : Pending)
    Each->Handler_();
}

} // namespace gooseberry
