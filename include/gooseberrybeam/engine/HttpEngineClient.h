/// \file
/// Adapter to model engines that speak HTTP with JSON.
#ifndef GOOSEBERRYBEAM_ENGINE_HTTPENGINECLIENT_H
#define GOOSEBERRYBEAM_ENGINE_HTTPENGINECLIENT_H

#include "gooseberrybeam/engine/EngineClient.h"
#include "gooseberrybeam/http/HttpCall.h"

namespace gooseberry {

/// Idle timeouts of calls to engines: the longest wait for a byte.
struct EngineTimeouts {
  Duration Prefill_ = std::chrono::seconds(20);
  Duration DecodeStart_ = std::chrono::seconds(3);
  Duration DecodeToken_ = std::chrono::seconds(3);
  Duration Control_ = std::chrono::seconds(1);
};

/// Calls engines over pooled connections.
class HttpEngineClient final : public EngineClient {
public:
  /// \param Pool gives connections; outlives the client.
  /// \param Holder `<instance>#<incarnation>`, named in every call.
  /// \param Timeouts idle timeouts.
  HttpEngineClient(ConnectionPool &Pool, std::string Holder,
                   EngineTimeouts Timeouts);

  /// \param Holder named in every call from now on.
  void setHolder(std::string Holder) { Holder_ = std::move(Holder); }

private:
  Outcome<PrefillDone> onPrefill(BackendId Engine, const PrefillCall &Call,
                                 CancelScope &Scope) override;
  Outcome<std::unique_ptr<DecodeStream>> onDecode(BackendId Engine,
                                                  const DecodeCall &Call,
                                                  CancelScope &Scope) override;
  Outcome<EngineFreed> onCancel(BackendId Engine, RequestId Request,
                                std::string Holder) override;
  Outcome<EngineFreed> onRelease(BackendId Engine, std::string Kv,
                                 std::string Holder) override;
  Outcome<std::vector<EngineHolding>> onHoldings(BackendId Engine) override;
  Outcome<EngineLoad> onLoad(BackendId Engine) override;
  Outcome<EngineCacheEvents> onCacheEvents(BackendId Engine,
                                           std::uint64_t After) override;
  Outcome<EngineAccepted> onOrder(BackendId Engine,
                                  EngineOrderCall Order) override;

  ConnectionPool &Pool_;
  std::string Holder_;
  EngineTimeouts Timeouts_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ENGINE_HTTPENGINECLIENT_H
