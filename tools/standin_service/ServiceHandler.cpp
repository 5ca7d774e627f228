#include "standin_service/ServiceHandler.h"

#include <xxhash.h>

namespace gooseberry {
namespace {

namespace json = boost::json;

constexpr std::uint64_t MostFree = 40;

std::string headerOf(const Exchange &Call, std::string_view Name) {
  const auto Value = Call.request()[beast::string_view(Name)];
  return {Value.data(), Value.size()};
}

template <typename Map> json::object renderCounts(const Map &Counts) {
  json::object Out;
  for (const auto &[Name, Count] : Counts)
    Out[Name] = Count;
  return Out;
}

json::value renderFree(const Exchange &Call) {
  const auto Path = Call.path();
  const auto Free = XXH64(Path.data(), Path.size(), 0) % MostFree;
  return json::object{{"path", Path}, {"free", Free}};
}

} // namespace

json::value ServiceHandler::execute(const Exchange &Call) {
  ++Executions_;
  if (auto Key = headerOf(Call, "Idempotency-Key"); !Key.empty())
    ++ByIdempotencyKey_[std::move(Key)];
  if (auto Request = headerOf(Call, "X-Request-Id"); !Request.empty())
    ++ByRequest_[std::move(Request)];
  return json::object{{"number", Executions_},
                      {"path", Call.path()},
                      {"bytes", Call.request().body().size()}};
}

asio::awaitable<void> ServiceHandler::onRequest(Exchange &Call) {
  if (WorkTime_.count() > 0)
    co_await sleepFor(WorkTime_);
  if (Call.request().method() != http::verb::get) {
    co_await Call.reply(201, execute(Call));
    co_return;
  }
  ++Reads_;
  co_await Call.reply(200, renderFree(Call));
}

json::object ServiceHandler::onState() const {
  return {{"executions", Executions_},
          {"reads", Reads_},
          {"by_idempotency_key", renderCounts(ByIdempotencyKey_)},
          {"by_request", renderCounts(ByRequest_)}};
}

} // namespace gooseberry
