/// \file
/// The narrow interface to model engines.
#ifndef GOOSEBERRYBEAM_ENGINE_ENGINECLIENT_H
#define GOOSEBERRYBEAM_ENGINE_ENGINECLIENT_H

#include "gooseberrybeam/engine/DecodeStream.h"
#include "gooseberrybeam/engine/EngineTypes.h"

#include <memory>
#include <vector>

namespace gooseberry {

/// Calls model engines on behalf of one holder. Used on one thread only.
class EngineClient {
public:
  template <typename T> using Outcome = Task<Result<T, EngineError>>;

  virtual ~EngineClient() = default;

  /// Computes the KV cache of a prompt.
  /// \param Engine a prefill engine.
  /// \param Call what to compute; its views outlive the task.
  /// \param Scope aborts the call when cancelled.
  /// \returns the KV cache's name and size.
  Outcome<PrefillDone> prefill(const BackendId &Engine, const PrefillCall &Call,
                               CancelScope &Scope) {
    return onPrefill(Engine, Call, Scope);
  }

  /// Starts to generate tokens.
  /// \param Engine a decode engine.
  /// \param Call what to generate.
  /// \param Scope aborts the call when cancelled.
  /// \returns the stream of events.
  Outcome<std::unique_ptr<DecodeStream>>
  decode(const BackendId &Engine, const DecodeCall &Call, CancelScope &Scope) {
    return onDecode(Engine, Call, Scope);
  }

  /// Ends a request on an engine and frees everything held for it there.
  /// \param Engine the engine.
  /// \param Request the request.
  /// \param Holder whose it is, `<instance>#<incarnation>`.
  /// \returns the number of KV pieces freed.
  Outcome<EngineFreed> cancel(const BackendId &Engine, const RequestId &Request,
                              std::string Holder) {
    return onCancel(Engine, Request, std::move(Holder));
  }

  /// Frees one KV cache.
  /// \param Engine the engine.
  /// \param Kv its name there.
  /// \param Holder whose it is, `<instance>#<incarnation>`.
  /// \returns the number of KV pieces freed.
  Outcome<EngineFreed> release(const BackendId &Engine, std::string Kv,
                               std::string Holder) {
    return onRelease(Engine, std::move(Kv), std::move(Holder));
  }

  /// \param Engine the engine.
  /// \returns everything that it holds, for all holders.
  Outcome<std::vector<EngineHolding>> holdings(const BackendId &Engine) {
    return onHoldings(Engine);
  }

  /// \param Engine the engine.
  /// \returns its load, which lags.
  Outcome<EngineLoad> load(const BackendId &Engine) { return onLoad(Engine); }

  /// \param Engine the engine.
  /// \param After the last event seen.
  /// \returns later events.
  Outcome<EngineCacheEvents> cacheEvents(const BackendId &Engine,
                                         std::uint64_t After) {
    return onCacheEvents(Engine, After);
  }

  /// Gives an order.
  /// \param Engine the engine.
  /// \param Order the order with its fencing number.
  /// \returns whether the engine accepted it.
  Outcome<EngineAccepted> order(const BackendId &Engine,
                                const EngineOrderCall &Order) {
    return onOrder(Engine, Order);
  }

private:
  virtual Outcome<PrefillDone>
  onPrefill(BackendId Engine, const PrefillCall &Call, CancelScope &Scope) = 0;
  virtual Outcome<std::unique_ptr<DecodeStream>>
  onDecode(BackendId Engine, const DecodeCall &Call, CancelScope &Scope) = 0;
  virtual Outcome<EngineFreed> onCancel(BackendId Engine, RequestId Request,
                                        std::string Holder) = 0;
  virtual Outcome<EngineFreed> onRelease(BackendId Engine, std::string Kv,
                                         std::string Holder) = 0;
  virtual Outcome<std::vector<EngineHolding>> onHoldings(BackendId Engine) = 0;
  virtual Outcome<EngineLoad> onLoad(BackendId Engine) = 0;
  virtual Outcome<EngineCacheEvents> onCacheEvents(BackendId Engine,
                                                   std::uint64_t After) = 0;
  virtual Outcome<EngineAccepted> onOrder(BackendId Engine,
                                          EngineOrderCall Order) = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ENGINE_ENGINECLIENT_H
