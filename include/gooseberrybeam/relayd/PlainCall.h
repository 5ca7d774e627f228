/// \file
/// Relays one request to a plain service.
#ifndef GOOSEBERRYBEAM_RELAYD_PLAINCALL_H
#define GOOSEBERRYBEAM_RELAYD_PLAINCALL_H

#include "gooseberrybeam/relayd/ServerCall.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gooseberry {

/// Tries up to as many servers as the route allows. A request that a server may
/// have run is retried only if its route permits that. Requests under which
/// servers crashed are sent as the home permits, see `RequestQuarantine`.
class PlainCall {
public:
  /// \param Context state of the instance; outlives the call.
  /// \param Request the caller's request; outlives the call.
  PlainCall(RelayContext &Context, RelayRequest &Request)
      : Context_(Context), Request_(Request) {}

  /// \returns a task that completes when the caller has its response.
  Task<void> run();

private:
  /// A response with its complete body.
  struct BufferedResponse {
    ResponseHead Head_;
    ServerResponseInfo Info_;
    std::string Body_;
  };
  using AttemptResult = Result<BufferedResponse, CallError>;

  std::vector<const BackendEntry *> usableServers() const;
  std::vector<const BackendEntry *> untriedServers() const;
  Task<std::optional<BackendEntry>> chooseServer();
  std::optional<Duration>
  timeUntilAvailable(std::span<const BackendEntry *const> Servers) const;
  Task<AttemptResult> attempt(const BackendEntry &Server);
  Task<AttemptResult> exchange(const BackendEntry &Server);
  TimePoint latestStart() const;
  bool mustAsk() const;
  Task<CrashAdmission> admit();
  Task<void> reportOutcome(const BackendEntry &Server,
                           const AttemptResult &Attempt,
                           AttemptOutcome Outcome);
  void endTrial(TrialOutcome Outcome);
  AttemptOutcome classify(const AttemptResult &Attempt) const;
  bool mayRetry(AttemptOutcome Outcome, bool MayHaveRun);
  Task<void> relayResponse(const BufferedResponse &Response);
  Task<void> refuseUnsent();
  Task<void> refuseSuspect(CrashAdmission Admission);
  Task<void> refuseAfterFailure(const AttemptResult &LastAttempt,
                                bool MayHaveRun);

  RelayContext &Context_;
  RelayRequest &Request_;
  std::vector<ServerId> TriedServers_;
  std::uint32_t SentAttempts_ = 0; ///< Attempts in progress or possibly run.
  bool HasCrashedServer_ = false;
  bool IsOnTrial_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_PLAINCALL_H
