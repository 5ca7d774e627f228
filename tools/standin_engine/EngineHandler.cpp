#include "standin_engine/EngineHandler.h"

#include "common/JsonFields.h"
#include "common/Tokens.h"

#include <algorithm>
#include <charconv>

namespace gooseberry {
namespace {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr auto SweepPeriod = std::chrono::milliseconds(20);

std::chrono::milliseconds asMillis(double Value) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(Value));
}

std::chrono::microseconds asMicros(double Millis) {
  return std::chrono::microseconds(static_cast<std::int64_t>(Millis * 1000));
}

json::value renderFreed(std::uint64_t Pieces) {
  return json::object{{"freed_pieces", Pieces}};
}

json::value renderHoldings(const KvStore &Memory) {
  return json::object{{"holdings", Memory.asJson()}};
}

std::string renderExportHead(const KvHolding &Holding) {
  return json::serialize(json::object{{"request", Holding.Request_},
                                      {"model", Holding.Model_},
                                      {"prompt", Holding.Prompt_},
                                      {"generated_tokens", Holding.Generated_},
                                      {"pieces", Holding.Pieces_}}) +
         "\n";
}

std::shared_ptr<PrefillJob> parsePrefill(const json::object &Body,
                                         const asio::any_io_executor &Where) {
  auto Job = std::make_shared<PrefillJob>(Where);
  Job->Request_ = textOf(Body, "request");
  Job->Holder_ = textOf(Body, "holder");
  Job->Model_ = textOf(Body, "model");
  Job->Prompt_ = textOf(Body, "prompt");
  Job->Generated_ = countOf(Body, "generated_tokens");
  Job->Priority_ = numberOr(Body, "priority", 0);
  if (const auto Deadline = countOf(Body, "deadline_ms"); Deadline > 0)
    Job->Deadline_ = Clock::now() + std::chrono::milliseconds(Deadline);
  return Job;
}

} // namespace

EngineHandler::EngineHandler(asio::io_context &Context,
                             const EngineSettings &Settings)
    : Context_(Context), Settings_(Settings),
      Memory_(static_cast<std::uint64_t>(Settings.Pieces_),
              Settings.Listen_ + "/"),
      Events_(asMillis(Settings.EventDelayMs_), Settings.EventLossPercent_),
      Cache_(
          static_cast<std::size_t>(Settings.CacheBlocks_),
          [this](std::string_view Kind, std::uint64_t Prefix,
                 std::uint64_t Tokens) { Events_.add(Kind, Prefix, Tokens); }),
      Prefills_(Context, Memory_, Cache_, Settings.PrefillUsPerToken_),
      Batch_(Context,
             {asMicros(Settings.StepMs_), asMicros(Settings.StepMsPerRequest_)},
             [this](const Sequence &Entry) { Memory_.release(Entry.Kv_); }),
      Link_(Settings.LinkPiecesPerSecond_), Orders_(Context, Settings),
      LoadSample_(makeLoad()) {
  asio::co_spawn(Context_, sweep(), asio::detached);
  asio::co_spawn(Context_, sampleLoad(), asio::detached);
}

asio::awaitable<void> EngineHandler::onRequest(Exchange &Exchanged) {
  static const std::map<std::string_view, Call> Calls = {
      {"/v1/prefill", &EngineHandler::prefill},
      {"/v1/decode", &EngineHandler::decode},
      {"/v1/cancel", &EngineHandler::cancel},
      {"/v1/kv/export", &EngineHandler::exportKv},
      {"/v1/kv/release", &EngineHandler::releaseKv},
      {"/v1/kv", &EngineHandler::listKv},
      {"/v1/load", &EngineHandler::load},
      {"/v1/cache/events", &EngineHandler::cacheEvents},
      {"/v1/orders", &EngineHandler::order},
  };
  const auto Found = Calls.find(Exchanged.path());
  if (Found == Calls.end()) {
    co_await Exchanged.reply(404, makeError("no_such_call"));
    co_return;
  }
  co_await (this->*Found->second)(Exchanged);
}

std::string_view EngineHandler::prefillFault(const PrefillJob &Job) const {
  if (!Orders_.hasRole("prefill"))
    return "wrong_role";
  if (!Orders_.hasModel(Job.Model_))
    return "wrong_model";
  if (Prefills_.isWaiting(Job.Request_) || Memory_.isHeldFor(Job.Request_))
    return "duplicate_request";
  const auto Tokens = countTokens(Job.Prompt_) + Job.Generated_;
  return countPieces(Tokens) > Memory_.total() ? "no_memory" : "";
}

asio::awaitable<void> EngineHandler::prefill(Exchange &Exchanged) {
  const auto Start = Clock::now();
  const auto Job = parsePrefill(Exchanged.body(), Context_.get_executor());
  if (const auto Fault = prefillFault(*Job); !Fault.empty()) {
    co_await Exchanged.reply(409, makeError(Fault));
    co_return;
  }
  co_await Prefills_.perform(Job);
  if (Job->End_ != PrefillEnd::Done) {
    const auto *Code =
        Job->End_ == PrefillEnd::NoMemory ? "no_memory" : "cancelled";
    co_await Exchanged.reply(409, makeError(Code));
    co_return;
  }
  const auto Took = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - Start);
  co_await Exchanged.reply(200, renderPrefill(*Job, Took));
}

json::value EngineHandler::renderPrefill(const PrefillJob &Job,
                                         std::chrono::milliseconds Took) {
  const auto Tokens = countTokens(Job.Prompt_);
  return json::object{{"kv", Job.Kv_},
                      {"prompt_tokens", Tokens},
                      {"cached_tokens", Job.Cached_},
                      {"pieces", countPieces(Tokens + Job.Generated_)},
                      {"prefill_ms", Took.count()}};
}

asio::awaitable<void> EngineHandler::exportKv(Exchange &Exchanged) {
  const auto Kv = textOf(Exchanged.body(), "kv");
  auto *Holding = Memory_.find(Kv);
  const bool IsReady = Holding != nullptr &&
                       Holding->State_ == KvState::Prefilled &&
                       !Holding->IsExporting_;
  if (!IsReady) {
    co_await Exchanged.reply(409, makeError("kv_gone"));
    co_return;
  }
  Holding->IsExporting_ = true;
  const auto Pieces = Holding->Pieces_;
  auto Head = renderExportHead(*Holding);
  co_await Exchanged.startStream("application/x-ndjson");
  co_await Exchanged.write(std::move(Head));
  const auto From = countOf(Exchanged.body(), "pieces_from");
  for (auto Piece = From; Piece < Pieces && !Exchanged.isBroken(); ++Piece) {
    co_await Link_.passPiece();
    if (Memory_.find(Kv) == nullptr)
      break;
    co_await Exchanged.write("{\"piece\":" + std::to_string(Piece) + "}\n");
  }
  Holding = Memory_.find(Kv);
  if (Holding == nullptr || Exchanged.isBroken()) {
    if (Holding != nullptr)
      Holding->IsExporting_ = false;
    Exchanged.breakOff();
    co_return;
  }
  Memory_.finishExport(Kv);
  co_await Exchanged.endStream();
}

asio::awaitable<void> EngineHandler::cancel(Exchange &Exchanged) {
  const auto Freed = cancelRequest(textOf(Exchanged.body(), "request"));
  co_await Exchanged.reply(200, renderFreed(Freed));
}

std::uint64_t EngineHandler::cancelRequest(std::string_view Request) {
  Prefills_.cancel(Request);
  Batch_.cancel(Request);
  for (const auto &Entry : Imports_) {
    if (Entry->Request_ != Request)
      continue;
    Entry->IsCancelled_ = true;
    if (Entry->Source_)
      Entry->Source_->close();
  }
  std::uint64_t Freed = 0;
  for (const auto &Name : Memory_.namesOf(Request))
    Freed += Memory_.release(Name);
  return Freed;
}

asio::awaitable<void> EngineHandler::releaseKv(Exchange &Exchanged) {
  const auto Body = Exchanged.body();
  const auto *Holding = Memory_.find(textOf(Body, "kv"));
  const bool IsTheirs =
      Holding != nullptr && Holding->Holder_ == textOf(Body, "holder");
  std::uint64_t Freed = 0;
  if (IsTheirs && Holding->State_ != KvState::Prefilled)
    Freed = cancelRequest(std::string(Holding->Request_));
  else if (IsTheirs)
    Freed = Memory_.release(std::string(Holding->Kv_));
  co_await Exchanged.reply(200, renderFreed(Freed));
}

asio::awaitable<void> EngineHandler::listKv(Exchange &Exchanged) {
  co_await Exchanged.reply(200, renderHoldings(Memory_));
}

asio::awaitable<void> EngineHandler::load(Exchange &Exchanged) {
  json::value Report = LoadSample_;
  co_await Exchanged.reply(200, std::move(Report));
}

asio::awaitable<void> EngineHandler::cacheEvents(Exchange &Exchanged) {
  const auto Text = Exchanged.query("after");
  std::uint64_t After = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), After);
  json::value Events = Events_.since(After);
  co_await Exchanged.reply(200, std::move(Events));
}

asio::awaitable<void> EngineHandler::order(Exchange &Exchanged) {
  if (!Orders_.take(Exchanged.body())) {
    co_await Exchanged.reply(412, makeError("stale_fence"));
    co_return;
  }
  co_await Exchanged.reply(200, json::object());
}

asio::awaitable<void> EngineHandler::sweep() {
  for (;;) {
    co_await sleepFor(SweepPeriod);
    Memory_.evictOlderThan(Clock::now() - asMillis(Settings_.KvTtlMs_));
  }
}

asio::awaitable<void> EngineHandler::sampleLoad() {
  for (;;) {
    LoadSample_ = makeLoad();
    co_await sleepFor(asMillis(std::max(Settings_.LoadLagMs_, 1.0)));
  }
}

json::object EngineHandler::makeLoad() const {
  json::object Report;
  Orders_.describe(Report);
  Report["prefill_queue_tokens"] = Prefills_.queuedTokens();
  Report["decode_active"] = Batch_.size() + Imports_.size();
  Report["decode_slots"] = static_cast<std::uint64_t>(Settings_.Slots_);
  Report["pieces_total"] = Memory_.total();
  Report["pieces_used"] = Memory_.used();
  Report["step_ms"] = static_cast<double>(Batch_.stepTime().count()) / 1000;
  Report["link_queue_pieces"] = Link_.queued();
  Report["lag_ms"] = Settings_.LoadLagMs_;
  return Report;
}

void EngineHandler::onFault(const json::object &Body) {
  if (Body.contains("stall_transfers"))
    Link_.setStalled(isSet(Body, "stall_transfers"));
  if (Body.contains("event_loss_percent"))
    Events_.setLoss(numberOr(Body, "event_loss_percent", 0));
  if (Body.contains("slowdown")) {
    Batch_.setSlowdown(numberOr(Body, "slowdown", 1));
    Prefills_.setSlowdown(numberOr(Body, "slowdown", 1));
  }
}

json::object EngineHandler::onState() const {
  json::object State = makeLoad();
  State["holdings"] = Memory_.asJson();
  State["importing"] = Imports_.size();
  State["prefill_tokens_computed"] = Prefills_.computedTokens();
  State["prefill_tokens_cached"] = Prefills_.cachedTokens();
  State["wasted_prefill_tokens"] = Memory_.wastedTokens();
  State["kv_evictions"] = Memory_.evictions();
  State["decode_tokens"] = Batch_.tokens();
  State["stall_transfers"] = Link_.isStalled();
  State["orders"] = Orders_.log();
  json::object Decodes;
  for (const auto &[Request, Count] : DecodesByRequest_)
    Decodes[Request] = Count;
  State["decodes_by_request"] = std::move(Decodes);
  return State;
}

} // namespace gooseberry
