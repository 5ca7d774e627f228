/// \file
/// Relays a request to a plain service.
#ifndef GOOSEBERRYBEAM_RELAYD_PLAINCALL_H
#define GOOSEBERRYBEAM_RELAYD_PLAINCALL_H

#include "gooseberrybeam/relayd/ServerCall.h"

#include <optional>
#include <string>
#include <vector>

namespace gooseberry {

/// Sends one request to as many servers as its route allows, and only once to
/// a server that may have run it unless it is idempotent.
class PlainCall {
public:
  /// \param Context the instance; outlives the call.
  /// \param Request the request; outlives the call.
  PlainCall(RelayContext &Context, RelayRequest &Request)
      : Context_(Context), Request_(Request) {}

  /// \returns a task that ends when the caller was answered.
  Task<void> run();

private:
  /// A whole answer of a server.
  struct BufferedResponse {
    ResponseHead Head_;
    ServerResponseInfo Info_;
    std::string Body_;
  };
  using AttemptResult = Result<BufferedResponse, CallError>;

  std::vector<const BackendEntry *> candidates() const;
  Task<AttemptResult> attempt(const BackendEntry &Server);
  Task<AttemptResult> exchange(const BackendEntry &Server);
  AttemptOutcome classify(const AttemptResult &Attempt) const;
  bool mayRetry(AttemptOutcome Outcome, bool MayHaveRun);
  Task<void> relayResponse(const BufferedResponse &Response);
  Task<void> refuseAfterFailure(const AttemptResult &LastAttempt,
                                bool MayHaveRun);

  RelayContext &Context_;
  RelayRequest &Request_;
  std::vector<ServerId> TriedServers_;
  std::uint32_t SentAttempts_ = 0; ///< Servers that the request was sent to.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_PLAINCALL_H
