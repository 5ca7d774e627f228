/// \file
/// The decode call of a stand-in engine: import, then generate.
#include "common/JsonFields.h"
#include "common/Tokens.h"
#include "standin_engine/EngineHandler.h"

#include <algorithm>

namespace gooseberry {
namespace {

namespace json = boost::json;

constexpr std::size_t MostRequestsRecorded = 50000;

} // namespace

EngineHandler::DecodeOrder
EngineHandler::parseDecode(const json::object &Body) {
  const auto *Field = Body.if_contains("source");
  const auto Source = Field != nullptr && Field->is_object()
                          ? Field->get_object()
                          : json::object();
  DecodeOrder Order;
  Order.Request_ = textOf(Body, "request");
  Order.Holder_ = textOf(Body, "holder");
  Order.Model_ = textOf(Body, "model");
  Order.Address_ = textOf(Source, "address");
  Order.SourceKv_ = textOf(Source, "kv");
  Order.MaxTokens_ = countOf(Body, "max_tokens");
  Order.First_ = countOf(Body, "first_index");
  return Order;
}

std::string_view EngineHandler::decodeFault(const DecodeOrder &Order) const {
  if (!Orders_.hasRole("decode"))
    return "wrong_role";
  if (!Orders_.hasModel(Order.Model_))
    return "wrong_model";
  if (Batch_.size() + Imports_.size() >=
      static_cast<std::size_t>(Settings_.Slots_))
    return "no_slot";
  const bool IsImporting =
      std::ranges::any_of(Imports_, [&](const auto &Entry) {
        return Entry->Request_ == Order.Request_;
      });
  return IsImporting || Batch_.contains(Order.Request_) ? "duplicate_request"
                                                        : "";
}

asio::awaitable<std::string_view>
EngineHandler::openSource(const DecodeOrder &Order,
                          std::shared_ptr<Import> Entry, json::object &Head) {
  const auto Endpoint = parseEndpoint(Order.Address_);
  if (!Endpoint)
    co_return "transfer_stalled";
  const bool IsConnected = co_await Entry->Source_->connect(*Endpoint);
  if (!IsConnected)
    co_return "transfer_stalled";
  json::object Body;
  Body["kv"] = Order.SourceKv_;
  Body["pieces_from"] = 0;
  const auto Status = co_await Entry->Source_->send(
      makeRequest(http::verb::post, "/v1/kv/export", Order.Address_,
                  json::serialize(Body)));
  if (Entry->IsCancelled_)
    co_return "cancelled";
  if (Status != 200)
    co_return Status == 409 ? "kv_gone" : "transfer_stalled";
  const auto Line = co_await Entry->Source_->readLine();
  if (!Line)
    co_return "transfer_stalled";
  Head = parseObject(*Line);
  co_return holdMemory(Order, *Entry, Head);
}

std::string_view EngineHandler::holdMemory(const DecodeOrder &Order,
                                           Import &Entry,
                                           const json::object &Head) {
  KvHolding Wanted;
  Wanted.Request_ = Order.Request_;
  Wanted.Holder_ = Order.Holder_;
  Wanted.Model_ = Order.Model_;
  Wanted.Prompt_ = textOf(Head, "prompt");
  Wanted.Generated_ = countOf(Head, "generated_tokens");
  Wanted.Pieces_ = countPieces(countTokens(Wanted.Prompt_) + Wanted.Generated_ +
                               Order.MaxTokens_);
  Wanted.State_ = KvState::Importing;
  const auto *Holding = Memory_.add(std::move(Wanted));
  if (Holding == nullptr)
    return "no_memory";
  Entry.Kv_ = Holding->Kv_;
  return "";
}

void EngineHandler::remove(const std::shared_ptr<Import> &Entry) {
  Entry->Source_->close();
  std::erase(Imports_, Entry);
}

asio::awaitable<void> EngineHandler::decode(Exchange &Exchanged) {
  const auto Order = parseDecode(Exchanged.body());
  if (const auto Fault = decodeFault(Order); !Fault.empty()) {
    co_await Exchanged.reply(409, makeError(Fault));
    co_return;
  }
  auto Entry = std::make_shared<Import>();
  Entry->Request_ = Order.Request_;
  Entry->Source_ = std::make_shared<LineClient>(Context_.get_executor());
  Imports_.push_back(Entry);
  json::object Head;
  const auto Fault = co_await openSource(Order, Entry, Head);
  if (!Fault.empty()) {
    remove(Entry);
    co_await Exchanged.reply(409, makeError(Fault));
    co_return;
  }
  co_await Exchanged.startStream("application/x-ndjson");
  const bool IsWhole = co_await receivePieces(*Entry);
  remove(Entry);
  if (!IsWhole) {
    const auto *Code = Entry->IsCancelled_ ? "cancelled" : "transfer_stalled";
    Memory_.release(Entry->Kv_);
    co_await failStream(Exchanged, Code);
    co_return;
  }
  co_await relay(Exchanged, makeSequence(Order, *Entry));
}

asio::awaitable<bool> EngineHandler::receivePieces(Import &Entry) {
  for (;;) {
    const auto Line = co_await Entry.Source_->readLine();
    if (!Line)
      break;
  }
  co_return Entry.Source_->isComplete() && !Entry.IsCancelled_;
}

asio::awaitable<void> EngineHandler::failStream(Exchange &Exchanged,
                                                std::string_view Code) {
  Sequence Failed(Context_.get_executor());
  Failed.fail(Code);
  co_await Exchanged.write(Failed.Lines_.front() + "\n");
  co_await Exchanged.endStream();
}

std::shared_ptr<Sequence> EngineHandler::makeSequence(const DecodeOrder &Order,
                                                      const Import &Entry) {
  auto *Holding = Memory_.find(Entry.Kv_);
  Holding->State_ = KvState::Decoding;
  if (DecodesByRequest_.size() < MostRequestsRecorded)
    ++DecodesByRequest_[Order.Request_];
  auto Made = std::make_shared<Sequence>(Context_.get_executor());
  Made->Request_ = Order.Request_;
  Made->Kv_ = Entry.Kv_;
  Made->Prompt_ = Holding->Prompt_;
  Made->First_ = Order.First_;
  Made->Next_ = Order.First_;
  Made->End_ = Order.First_ + Order.MaxTokens_;
  Made->push(R"({"event":"imported"})");
  Batch_.add(Made);
  return Made;
}

asio::awaitable<void> EngineHandler::relay(Exchange &Exchanged,
                                           std::shared_ptr<Sequence> Entry) {
  Entry->Wake_.expires_at(std::chrono::steady_clock::time_point::max());
  while (!Exchanged.isBroken()) {
    while (!Entry->Lines_.empty()) {
      auto Line = std::move(Entry->Lines_.front());
      Entry->Lines_.pop_front();
      co_await Exchanged.write(Line + "\n");
    }
    if (Entry->IsDone_)
      break;
    co_await Entry->Wake_.async_wait(Awaiting);
  }
  co_await Exchanged.endStream();
}

} // namespace gooseberry
