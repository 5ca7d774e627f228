/// \file
/// HTTP face of a stand-in model engine.
#ifndef TOOLS_STANDIN_ENGINE_ENGINEHANDLER_H
#define TOOLS_STANDIN_ENGINE_ENGINEHANDLER_H

#include "common/LineClient.h"
#include "common/StandinServer.h"
#include "standin_engine/CacheEvents.h"
#include "standin_engine/DecodeBatch.h"
#include "standin_engine/ExportLink.h"
#include "standin_engine/OrderDesk.h"
#include "standin_engine/PrefillWorker.h"

#include <map>

namespace gooseberry {

/// Serves the calls of an engine.
class EngineHandler : public StandinHandler {
public:
  /// \param Context where the engine runs.
  /// \param Settings what it can do.
  EngineHandler(asio::io_context &Context, const EngineSettings &Settings);

private:
  using Call = asio::awaitable<void> (EngineHandler::*)(Exchange &);

  /// An import on its way; its slot is taken.
  struct Import {
    std::string Request_;
    std::string Kv_; ///< Empty until memory is held.
    std::shared_ptr<LineClient> Source_;
    bool IsCancelled_ = false;
  };

  /// What a decode call asks for.
  struct DecodeOrder {
    std::string Request_;
    std::string Holder_;
    std::string Model_;
    std::string Address_;
    std::string SourceKv_;
    std::uint64_t MaxTokens_ = 0;
    std::uint64_t First_ = 0;
  };

  static DecodeOrder parseDecode(const boost::json::object &Body);

  asio::awaitable<void> onRequest(Exchange &Exchanged) override;
  boost::json::object onState() const override;
  void onFault(const boost::json::object &Body) override;

  asio::awaitable<void> prefill(Exchange &Exchanged);
  asio::awaitable<void> decode(Exchange &Exchanged);
  asio::awaitable<void> cancel(Exchange &Exchanged);
  asio::awaitable<void> exportKv(Exchange &Exchanged);
  asio::awaitable<void> releaseKv(Exchange &Exchanged);
  asio::awaitable<void> listKv(Exchange &Exchanged);
  asio::awaitable<void> load(Exchange &Exchanged);
  asio::awaitable<void> cacheEvents(Exchange &Exchanged);
  asio::awaitable<void> order(Exchange &Exchanged);

  std::string_view prefillFault(const PrefillJob &Job) const;
  std::string_view decodeFault(const DecodeOrder &Order) const;
  boost::json::value renderPrefill(const PrefillJob &Job,
                                   std::chrono::milliseconds Took);
  asio::awaitable<std::string_view> openSource(const DecodeOrder &Order,
                                               std::shared_ptr<Import> Entry,
                                               boost::json::object &Head);
  std::string_view holdMemory(const DecodeOrder &Order, Import &Entry,
                              const boost::json::object &Head);
  asio::awaitable<bool> receivePieces(Import &Entry);
  asio::awaitable<void> relay(Exchange &Exchanged,
                              std::shared_ptr<Sequence> Entry);
  asio::awaitable<void> failStream(Exchange &Exchanged, std::string_view Code);
  std::shared_ptr<Sequence> makeSequence(const DecodeOrder &Order,
                                         const Import &Entry);
  std::uint64_t cancelRequest(std::string_view Request);
  void remove(const std::shared_ptr<Import> &Entry);
  asio::awaitable<void> sweep();
  asio::awaitable<void> sampleLoad();
  boost::json::object makeLoad() const;

  asio::io_context &Context_;
  EngineSettings Settings_;
  KvStore Memory_;
  CacheEvents Events_;
  PrefixCache Cache_;
  PrefillWorker Prefills_;
  DecodeBatch Batch_;
  ExportLink Link_;
  OrderDesk Orders_;
  std::vector<std::shared_ptr<Import>> Imports_;
  boost::json::object LoadSample_;
  std::map<std::string, std::uint64_t, std::less<>> DecodesByRequest_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_ENGINEHANDLER_H
