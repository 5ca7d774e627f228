#include "gooseberrybeam/relayd/ServerContactMonitor.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"

#include <boost/asio/steady_timer.hpp>

namespace gooseberry {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// A server in reach takes a connection within milliseconds.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(150);

} // namespace

void ServerContactMonitor::start() {
  spawnLoop(Context_.IoContext_, "server contact", [this] { return run(); });
}

Task<void> ServerContactMonitor::run() {
  asio::steady_timer Timer(Context_.IoContext_);
  for (;;) {
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(AsTuple);
    std::vector<BackendId> Registered;
    for (const auto &[Id, Entry] : Context_.Directory_.entries())
      if (!Entry.IsLeaving_)
        Registered.push_back(Entry.Address_);
    auto Servers =
        Context_.Contact_.serversToProbe(Registered, readBootClock());
    if (Servers.empty())
      continue;
    const bool IsReached = co_await connectToAny(std::move(Servers));
    if (!Context_.Contact_.onProbed(IsReached))
      continue;
    Context_.Home_.setCutOff(!IsReached);
    logLine(LogPart::Service, LogLevel::Warn,
            IsReached ? "Backend servers are reached again."
                      : "No backend server is reached; requests are passed on "
                        "to other instances.",
            {{"servers", std::to_string(Registered.size())}});
  }
}

Task<bool> ServerContactMonitor::connectToAny(std::vector<BackendId> Servers) {
  for (const BackendId &Each : Servers) {
    CancelScope Scope;
    auto Made = co_await Context_.Pool_.acquire(Each, Scope, ConnectionUse::New,
                                                ProbeTimeout);
    if (!isOk(Made))
      continue;
    Context_.Pool_.release(Each, takeValue(std::move(Made)));
    co_return true;
  }
  co_return false;
}

} // namespace gooseberry
