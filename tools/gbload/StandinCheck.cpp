#include "gbload/StandinCheck.h"

#include "common/JsonFields.h"
#include "common/LineClient.h"

namespace gooseberry {
namespace {

namespace json = boost::json;

constexpr auto CallLimit = std::chrono::seconds(2);
constexpr auto ReleasePoll = std::chrono::milliseconds(100);

std::vector<std::string> backendStandins(const Cluster &Whole) {
  auto Addresses = serviceStandins(Whole);
  Addresses.insert(Addresses.end(), Whole.Engines_.begin(),
                   Whole.Engines_.end());
  return Addresses;
}

std::string renderWatch(const Cluster &Whole) {
  json::array Needles;
  for (const auto &Key : Whole.Keys_)
    Needles.emplace_back(Key.Key_);
  json::object Body;
  Body["watch"] = std::move(Needles);
  return json::serialize(Body);
}

asio::awaitable<std::string> callDebug(std::string Address, http::verb Verb,
                                       std::string Target, std::string Body) {
  LineClient Client(co_await asio::this_coro::executor);
  Client.expireAfter(CallLimit);
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return std::string();
  const bool IsConnected = co_await Client.connect(*Endpoint);
  if (!IsConnected)
    co_return std::string();
  const auto Status =
      co_await Client.send(makeRequest(Verb, Target, Address, std::move(Body)));
  if (Status == 0)
    co_return std::string();
  co_return co_await Client.readAll();
}

void addHoldings(const json::object &State, StandinRecord &Record) {
  const auto *Field = State.if_contains("holdings");
  if (Field == nullptr || !Field->is_array())
    return;
  for (const auto &Holding : Field->get_array())
    Record.HeldPieces_ += countOf(Holding.as_object(), "pieces");
}

void addExecutions(const json::object &State, StandinRecord &Record) {
  const auto *Field = State.if_contains("by_idempotency_key");
  if (Field == nullptr || !Field->is_object())
    return;
  for (const auto &Entry : Field->get_object()) {
    const bool IsNew = Record.Executed_.emplace(Entry.key()).second;
    const bool IsSingle = Entry.value().to_number<std::uint64_t>() == 1;
    Record.DoubleExecutions_ += IsNew && IsSingle ? 0 : 1;
  }
}

void addState(std::string_view Text, StandinRecord &Record) {
  const auto State = parseObject(Text);
  if (State.empty()) {
    ++Record.Unreachable_;
    return;
  }
  addHoldings(State, Record);
  addExecutions(State, Record);
  Record.PrefillTokens_ += countOf(State, "prefill_tokens_computed");
  Record.WastedTokens_ += countOf(State, "wasted_prefill_tokens");
  Record.KeysSeen_ += countOf(State, "watch_hits");
}

} // namespace

asio::awaitable<void> watchKeys(const Cluster &Whole) {
  for (const auto &Address : backendStandins(Whole))
    co_await callDebug(Address, http::verb::post, "/debug/fault",
                       renderWatch(Whole));
}

asio::awaitable<StandinRecord> readRecord(const Cluster &Whole) {
  StandinRecord Record;
  for (const auto &Address : backendStandins(Whole)) {
    const auto Text =
        co_await callDebug(Address, http::verb::get, "/debug/state", "");
    addState(Text, Record);
  }
  co_return Record;
}

asio::awaitable<StandinRecord> awaitRelease(const Cluster &Whole,
                                            std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  auto Record = co_await readRecord(Whole);
  while (Record.HeldPieces_ > 0 && std::chrono::steady_clock::now() < End) {
    co_await sleepFor(ReleasePoll);
    Record = co_await readRecord(Whole);
  }
  co_return Record;
}

} // namespace gooseberry
