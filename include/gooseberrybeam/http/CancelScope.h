/// \file
/// Cancellation of one request's pending operations.
#ifndef GOOSEBERRYBEAM_HTTP_CANCELSCOPE_H
#define GOOSEBERRYBEAM_HTTP_CANCELSCOPE_H

#include "gooseberrybeam/base/Refusal.h"

#include <functional>
#include <optional>
#include <vector>

namespace gooseberry {

/// Carries the reason why a request ends early to whatever it waits for. Used
/// on one thread only.
class CancelScope {
public:
  using Abort = std::function<void()>;

  /// Registers what to abort while an operation is pending.
  class Guard {
  public:
    /// \param Scope the scope of the request; outlives the guard.
    /// \param Handler called once if the scope is cancelled.
    Guard(CancelScope &Scope, Abort Handler);
    ~Guard();
    Guard(const Guard &) = delete;
    Guard &operator=(const Guard &) = delete;

  private:
    friend class CancelScope;
    CancelScope &Scope_;
    Abort Handler_;
  };

  CancelScope() = default;
  CancelScope(const CancelScope &) = delete;
  CancelScope &operator=(const CancelScope &) = delete;

  /// Cancels all pending operations. The first reason is kept.
  /// \param Reason why the request ends.
  void cancel(RefusalReason Reason);

  /// \returns whether the request was cancelled.
  bool isCancelled() const { return Reason_.has_value(); }

  /// \returns why it was cancelled, if it was.
  std::optional<RefusalReason> reason() const { return Reason_; }

private:
  std::optional<RefusalReason> Reason_;
  std::vector<Guard *> Guards_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_CANCELSCOPE_H
