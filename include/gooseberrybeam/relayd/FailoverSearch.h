/// \file
/// Looks for other engines while a call to an engine is silent.
#ifndef GOOSEBERRYBEAM_RELAYD_FAILOVERSEARCH_H
#define GOOSEBERRYBEAM_RELAYD_FAILOVERSEARCH_H

#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/http/CancelScope.h"
#include "gooseberrybeam/relay/StallFailover.h"
#include "gooseberrybeam/relayd/HomeLink.h"

#include <functional>
#include <memory>
#include <optional>

namespace gooseberry {

/// Watches one call to an engine. While the call is silent, the home is asked
/// for other engines under a request id of its own, so that the call's own
/// reservation stays. Once some are granted, the call is cancelled. If the call
/// makes progress before that, the search is withdrawn.
class FailoverSearch {
public:
  /// Functions of the generation that the search calls.
  struct Callbacks {
    /// Called at the start of a silence.
    std::function<void()> OnStall_;
    /// Called when a silent call makes progress again.
    std::function<void()> OnResume_;
    /// \returns what to ask for; none if no other engine may be used now.
    std::function<std::optional<PlacementRequest>()> MakeRequest_;
    /// \returns whether the granted engines are used.
    std::function<bool(const PlacementGrant &)> Accept_;
  };

  /// \param Context runs the timers and coroutines.
  /// \param Home grants engines; outlives all coroutines.
  /// \param Parent cancels the call; outlives the search.
  /// \param Failover decides when to search.
  /// \param Handlers functions of the generation; all must be set. Not called
  /// after the destructor.
  FailoverSearch(asio::io_context &Context, HomeLink &Home, CancelScope &Parent,
                 StallFailover Failover, Callbacks Handlers);
  ~FailoverSearch();
  FailoverSearch(const FailoverSearch &) = delete;
  FailoverSearch &operator=(const FailoverSearch &) = delete;

  /// \returns the scope of the call; cancelled when it is given up.
  CancelScope &callScope();
  /// Records that the response has begun.
  void onHead();
  /// Records that whole events have arrived and are being written.
  void onWrite();
  /// Records that they have been written.
  void onEvent();
  /// \returns the engines for which the call was given up; none if it was not.
  const std::optional<PlacementGrant> &replacement() const;

private:
  struct State;

  static Task<void> run(std::shared_ptr<State> Shared);
  static Task<void> search(std::shared_ptr<State> Shared,
                           PlacementRequest Request);

  void onProgress(bool HadStalled);

  std::shared_ptr<State> State_;
  CancelScope::Guard ParentLink_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_FAILOVERSEARCH_H
