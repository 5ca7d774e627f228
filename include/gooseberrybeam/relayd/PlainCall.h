/// \file
/// Relays one request to a plain service.
#ifndef GOOSEBERRYBEAM_RELAYD_PLAINCALL_H
#define GOOSEBERRYBEAM_RELAYD_PLAINCALL_H

#include "gooseberrybeam/http/HeldBody.h"
#include "gooseberrybeam/relay/StallFailover.h"
#include "gooseberrybeam/relayd/RequestRetries.h"
#include "gooseberrybeam/relayd/ServerCall.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gooseberry {

/// Tries up to as many servers as the route allows. A request that a server may
/// have run is retried only if its route permits that; then a second copy is
/// also sent while a server is silent, and the first good answer is used.
/// Requests under which servers crashed are sent as the home permits, see
/// `RequestQuarantine`.
class PlainCall {
public:
  /// \param Context state of the instance; outlives the call.
  /// \param Request the caller's request; outlives the call.
  PlainCall(RelayContext &Context, RelayRequest &Request)
      : Context_(Context), Request_(Request), Retries_(Context, Request),
        Wake_(Context.IoContext_) {}
  ~PlainCall();
  PlainCall(const PlainCall &) = delete;
  PlainCall &operator=(const PlainCall &) = delete;

  /// \returns a task that completes when the caller has its response.
  Task<void> run();

private:
  /// A response with its complete body.
  struct BufferedResponse {
    ResponseHead Head_;
    ServerResponseInfo Info_;
    HeldBody Body_;
  };
  using AttemptResult = Result<BufferedResponse, CallError>;

  /// One copy of the request; shared with its coroutine.
  struct Attempt {
    BackendEntry Server_;
    CancelScope Scope_;
    bool HasStalled_ = false;
    std::optional<AttemptResult> Result_; ///< Set when it has ended.
    std::function<void()> OnEnd_; ///< Called then; null if nobody waits.
  };

  /// Ends an attempt whose coroutine ends, whatever the reason.
  class AttemptEnd {
  public:
    explicit AttemptEnd(std::shared_ptr<Attempt> Running)
        : Running_(std::move(Running)) {}
    ~AttemptEnd();
    AttemptEnd(const AttemptEnd &) = delete;
    AttemptEnd &operator=(const AttemptEnd &) = delete;

  private:
    std::shared_ptr<Attempt> Running_;
  };

  using Attempts = std::vector<std::shared_ptr<Attempt>>;

  std::vector<const BackendEntry *> usableServers() const;
  std::vector<const BackendEntry *> untriedServers() const;
  Task<std::optional<BackendEntry>> chooseServer(CancelScope &Scope);
  std::optional<Duration>
  timeUntilAvailable(std::span<const BackendEntry *const> Servers) const;
  Task<void> runAttempts(const BackendEntry &Server);
  Task<void> watchAttempts(const BackendEntry &Server);
  void start(const BackendEntry &Server);
  Task<void> attempt(std::shared_ptr<Attempt> Running);
  AttemptOutcome takeEnded();
  void keepResult(Attempt &Ended);
  bool mayHedge() const;
  Task<void> hedge(StallFailover &Failover);
  Task<void> cancelAttempts();
  void cancelAll(RefusalReason Reason);
  Task<AttemptResult> exchange(const BackendEntry &Server, CancelScope &Scope);
  TimePoint latestStart() const;
  bool mustAsk() const;
  Task<CrashAdmission> admit();
  Task<void> reportOutcome(const BackendEntry &Server,
                           const AttemptResult &Attempt,
                           AttemptOutcome Outcome);
  void endTrial(TrialOutcome Outcome);
  AttemptOutcome classify(const AttemptResult &Attempt) const;
  bool mayRetry(AttemptOutcome Outcome);
  Task<void> relayResponse(BufferedResponse Response);
  Task<void> refuseUnsent();
  Task<void> refuseSuspect(CrashAdmission Admission);
  Task<void> refuseAfterFailure(const AttemptResult &LastAttempt);

  RelayContext &Context_;
  RelayRequest &Request_;
  RequestRetries Retries_;
  std::vector<ServerId> TriedServers_;
  std::uint32_t SentAttempts_ = 0; ///< Attempts in progress or possibly run.
  Attempts Running_;
  asio::steady_timer Wake_;            ///< Cancelled when an attempt ends.
  CancelScope *ChoiceScope_ = nullptr; ///< Cancelled when an attempt ends.
  bool MayHaveRun_ = false;            ///< A server may have run the request.
  std::optional<AttemptResult> Last_;  ///< The result for the caller.
  ServerId LastServer_;                ///< The server that it is from.
  bool HasCrashedServer_ = false;
  bool IsOnTrial_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_PLAINCALL_H
