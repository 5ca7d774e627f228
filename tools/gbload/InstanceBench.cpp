#include "gbload/InstanceBench.h"

#include <boost/json.hpp>

#include <cstdio>

namespace gooseberry {
namespace {

constexpr int LatencyRounds = 4000;
constexpr int WarmupRounds = 200;
constexpr int Checkers = 32;
constexpr std::size_t Streams = 200;
constexpr std::size_t IdleStreams = 400;
constexpr std::uint64_t MaxTokens = 128;
constexpr unsigned OkStatus = 200;
constexpr auto LoadTime = std::chrono::seconds(4);
constexpr auto CallLimit = std::chrono::seconds(30);
constexpr auto RoundGap = std::chrono::microseconds(500);
constexpr auto SettleTime = std::chrono::seconds(3);
constexpr auto OpenPoll = std::chrono::milliseconds(10);
constexpr double MicrosPerMilli = 1000;

const RoutedService *findService(const Cluster &Whole, std::string_view Kind) {
  for (const auto &Service : Whole.Services_) {
    if (Service.Kind_ == Kind && !Service.Standins_.empty())
      return &Service;
  }
  return nullptr;
}

void printLatency(const char *Name, const Quantiles &Times) {
  std::printf("%-34s p50 %7.0f us  p99 %7.0f us\n", Name,
              Times.at(0.5) * MicrosPerMilli, Times.at(0.99) * MicrosPerMilli);
}

std::string renderPrompt(std::string_view Model, std::string_view Prompt) {
  boost::json::object Body;
  Body["model"] = Model;
  Body["prompt"] = Prompt;
  Body["max_tokens"] = MaxTokens;
  Body["stream"] = true;
  return boost::json::serialize(Body);
}

} // namespace

ProcessUsage InstanceBench::usage() const {
  return readUsage(Pid_).value_or(ProcessUsage{});
}

asio::awaitable<void> InstanceBench::run() {
  co_await sleepFor(SettleTime);
  co_await measureLatency();
  co_await measureRequests();
  co_await measureStreams();
  co_await measureMemory();
  std::printf("%-34s %lu\n", "failed", Failures_);
}

asio::awaitable<void> InstanceBench::check(std::string Address,
                                           std::string Target) {
  auto Client = co_await Pool_.take(Address, CallLimit);
  if (!Client) {
    ++Failures_;
    co_return;
  }
  auto Call = makeRequest(http::verb::get, Target, Address, "");
  Call.set(http::field::authorization, "Bearer " + Cluster_.Keys_.front().Key_);
  const auto Status = co_await Client->send(std::move(Call));
  if (Status != 0)
    co_await Client->readAll();
  ++(Status == OkStatus ? Requests_ : Failures_);
  Pool_.give(Address, std::move(Client));
}

asio::awaitable<void> InstanceBench::measureLatency() {
  const auto *Service = findService(Cluster_, "availability");
  if (Service == nullptr)
    co_return;
  const auto Target = Service->Prefix_ + "/1";
  Quantiles Direct;
  Quantiles Through;
  for (int Round = 0; Round < LatencyRounds; ++Round) {
    const auto Start = Clock::now();
    co_await check(Service->Standins_.front(), Target);
    const auto Middle = Clock::now();
    co_await check(Cluster_.Callers_.front(), Target);
    const auto End = Clock::now();
    if (Round >= WarmupRounds) {
      Direct.add(std::chrono::duration_cast<std::chrono::microseconds>(Middle -
                                                                       Start));
      Through.add(
          std::chrono::duration_cast<std::chrono::microseconds>(End - Middle));
    }
    co_await sleepFor(RoundGap);
  }
  printLatency("check, stand-in called directly", Direct);
  printLatency("check, through the instance", Through);
  std::printf("%-34s p50 %7.0f us  p99 %7.0f us\n", "added by the instance",
              (Through.at(0.5) - Direct.at(0.5)) * MicrosPerMilli,
              (Through.at(0.99) - Direct.at(0.99)) * MicrosPerMilli);
}

void InstanceBench::spawn(asio::awaitable<void> Part) {
  ++Open_;
  asio::co_spawn(Context_, std::move(Part),
                 [this](const std::exception_ptr &) { --Open_; });
}

asio::awaitable<void> InstanceBench::awaitOpen() {
  while (Open_ > 0)
    co_await sleepFor(OpenPoll);
}

asio::awaitable<void> InstanceBench::checkUntil(Stopped End) {
  const auto Target = findService(Cluster_, "availability")->Prefix_ + "/1";
  while (Clock::now() < End)
    co_await check(Cluster_.Callers_.front(), Target);
}

asio::awaitable<void> InstanceBench::measureRequests() {
  if (findService(Cluster_, "availability") == nullptr)
    co_return;
  const auto Before = usage();
  Requests_ = 0;
  const auto Start = Clock::now();
  for (int I = 0; I < Checkers; ++I)
    spawn(checkUntil(Start + LoadTime));
  co_await awaitOpen();
  const std::chrono::duration<double> Took = Clock::now() - Start;
  const auto Cpu = usage().CpuSeconds_ - Before.CpuSeconds_;
  const auto Count = static_cast<double>(Requests_);
  std::printf("%-34s %.0f a second, %.0f a second of one core\n", "checks",
              Count / Took.count(), Count / Cpu);
}

asio::awaitable<void> InstanceBench::stream(std::string Prompt) {
  const auto &Address = Cluster_.Callers_.front();
  auto Client = co_await Pool_.take(Address, CallLimit);
  if (!Client) {
    ++Failures_;
    co_return;
  }
  auto Call = makeRequest(http::verb::post, "/v1/completions", Address,
                          renderPrompt(Cluster_.Models_.front(), Prompt));
  Call.set(http::field::authorization, "Bearer " + Cluster_.Keys_.front().Key_);
  const auto Status = co_await Client->send(std::move(Call));
  Failures_ += Status == OkStatus ? 0 : 1;
  while (Status != 0) {
    const auto Line = co_await Client->readLine();
    if (!Line)
      break;
    Tokens_ += Line->find("\"finish_reason\":null") != std::string::npos;
  }
  if (Status != 0)
    Pool_.give(Address, std::move(Client));
}

asio::awaitable<void> InstanceBench::streamUntil(std::size_t Caller,
                                                 Stopped End) {
  for (std::uint64_t Turn = 0; Clock::now() < End; ++Turn)
    co_await stream("bench " + std::to_string(Caller) + "/" +
                    std::to_string(Turn));
}

asio::awaitable<void> InstanceBench::measureStreams() {
  const auto Before = usage();
  Tokens_ = 0;
  const auto Start = Clock::now();
  for (std::size_t I = 0; I < Streams; ++I)
    spawn(streamUntil(I, Start + LoadTime));
  co_await awaitOpen();
  const std::chrono::duration<double> Took = Clock::now() - Start;
  const auto Cpu = usage().CpuSeconds_ - Before.CpuSeconds_;
  const auto Count = static_cast<double>(Tokens_);
  std::printf("%-34s %.0f a second, %.0f a second of one core\n",
              "tokens, 200 streams", Count / Took.count(), Count / Cpu);
}

asio::awaitable<void> InstanceBench::measureMemory() {
  for (const auto &Engine : Cluster_.Engines_) {
    LineClient Client(Context_.get_executor());
    const auto Endpoint = parseEndpoint(Engine);
    if (Endpoint && co_await Client.connect(*Endpoint))
      co_await Client.send(makeRequest(http::verb::post, "/debug/fault", Engine,
                                       "{\"slowdown\":100}"));
  }
  const auto Before = usage();
  for (std::size_t I = 0; I < IdleStreams; ++I)
    spawn(stream("idle " + std::to_string(I)));
  co_await sleepFor(SettleTime);
  const auto Grown = usage().ResidentBytes_ - Before.ResidentBytes_;
  std::printf("%-34s %.1f KB (%lu of %zu open)\n", "memory for an open stream",
              static_cast<double>(Grown) / 1024.0 / IdleStreams, Open_,
              IdleStreams);
}

} // namespace gooseberry
