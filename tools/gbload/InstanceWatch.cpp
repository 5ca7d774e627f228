#include "gbload/InstanceWatch.h"

#include "common/LineClient.h"

namespace gooseberry {
namespace {

constexpr auto PollPeriod = std::chrono::milliseconds(100);
constexpr auto PollLimit = std::chrono::milliseconds(500);
constexpr unsigned ReadyStatus = 200;

} // namespace

void InstanceWatch::start() {
  for (std::size_t Index = 0; Index < IsReady_.size(); ++Index)
    asio::co_spawn(Context_, poll(Index), asio::detached);
}

std::size_t InstanceWatch::choose(std::size_t Wanted) const {
  for (std::size_t Step = 0; Step < IsReady_.size(); ++Step) {
    const auto Index = (Wanted + Step) % IsReady_.size();
    if (IsReady_[Index])
      return Index;
  }
  return Wanted;
}

asio::awaitable<void> InstanceWatch::poll(std::size_t Index) {
  while (!IsStopped_) {
    const bool IsNowReady = co_await isReady(Index);
    IsReady_[Index] = IsNowReady;
    co_await sleepFor(PollPeriod);
  }
}

asio::awaitable<bool> InstanceWatch::isReady(std::size_t Index) {
  const auto &Address = Cluster_.Callers_[Index];
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return false;
  LineClient Client(Context_.get_executor());
  Client.expireAfter(PollLimit);
  const bool IsConnected = co_await Client.connect(*Endpoint);
  if (!IsConnected)
    co_return false;
  const auto Status = co_await Client.send(
      makeRequest(http::verb::get, "/readyz", Address, ""));
  co_return Status == ReadyStatus;
}

} // namespace gooseberry
