/// \file
/// Passes a request on to another instance.
#ifndef GOOSEBERRYBEAM_RELAYD_PROXYCALL_H
#define GOOSEBERRYBEAM_RELAYD_PROXYCALL_H

#include "gooseberrybeam/relayd/RelayContext.h"
#include "gooseberrybeam/relayd/RelayRequest.h"

#include <memory>
#include <string_view>

namespace gooseberry {

/// Has a request served by another instance while this one is cut off from all
/// backend servers. The other instance does all that a request needs, limits
/// and placement included; its answer is passed on unchanged.
class ProxyCall {
public:
  /// \param Context state of the instance; outlives the call.
  /// \param Request the caller's request; outlives the call.
  ProxyCall(RelayContext &Context, RelayRequest &Request)
      : Context_(Context), Request_(Request) {}

  /// \returns a task that yields false if no instance has taken the request;
  /// then it is not answered and has not run.
  Task<bool> run();

private:
  /// Outcome at one instance.
  enum class Outcome : std::uint8_t {
    Answered,
    NotTaken, ///< It has not run.
    Lost,     ///< It may have run.
  };

  Task<Outcome> sendTo(const BackendId &Instance);
  Task<Outcome> relay(const BackendId &Instance,
                      std::unique_ptr<ClientConnection> Connection,
                      ResponseHead Head);
  Task<void> relayStream(ClientConnection &Connection, ResponseHead Head);
  HttpRequest makeRequest() const;

  RelayContext &Context_;
  RelayRequest &Request_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_PROXYCALL_H
