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
  struct WholeAnswer {
    ResponseHead Head_;
    ServerFacts Facts_;
    std::string Body_;
  };
  using Attempt = Result<WholeAnswer, CallError>;

  std::vector<const BackendEntry *> candidates() const;
  Task<Attempt> attempt(const BackendEntry &Server);
  Task<Attempt> exchange(const BackendEntry &Server);
  AttemptOutcome endOf(const Attempt &Outcome) const;
  bool mayTryAgain(AttemptOutcome End, bool MayHaveRun);
  Task<void> answer(const WholeAnswer &Answer);
  Task<void> fail(const Attempt &Last, bool MayHaveRun);

  RelayContext &Context_;
  RelayRequest &Request_;
  std::vector<ServerId> Tried_;
  std::uint32_t Sent_ = 0; ///< Servers that the request was sent to.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_PLAINCALL_H
