#include "gooseberrybeam/daemon/Worker.h"

#include "gooseberrybeam/http/SpawnTask.h"

#include <boost/asio/post.hpp>

namespace gooseberry {
namespace {

EngineTimeouts makeTimeouts(const Settings &Options) {
  EngineTimeouts Timeouts;
  Timeouts.Prefill_ = Options.PrefillTimeout_;
  Timeouts.DecodeStart_ = Options.TokenTimeout_;
  Timeouts.DecodeToken_ = Options.TokenTimeout_;
  return Timeouts;
}

CallLimits makeTableLimits(const Settings &Options) {
  CallLimits Limits;
  Limits.IdleTimeout_ = Options.TableTimeout_;
  return Limits;
}

CallerLimits makeCallerLimits(const Settings &Options,
                              const ConnectionPool &Pool) {
  CallerLimits Limits = Options.Caller_;
  Limits.Bodies_ = Pool.bodies();
  return Limits;
}

std::string makeIdPrefix(const std::string &Holder, std::uint32_t Index) {
  return Holder + "-" + std::to_string(Index) + "-";
}

} // namespace

Worker::Worker(DaemonState &State, const Settings &Options,
               asio::io_context &Control, GenerationDesk &Desk,
               ClusterDesk &Cluster, const std::string &Holder,
               std::uint32_t Index)
    : Work_(Context_.get_executor()), Pool_(PoolLimits()),
      Engines_(Pool_, Holder, makeTimeouts(Options)),
      Table_(Context_, Pool_, {Options.Table_}, makeTableLimits(Options)),
      Retries_(RetryPolicyLimits()), Shared_{Context_, Control,       State,
                                             Options,  Desk,          Cluster,
                                             Engines_, Pool_,         Table_,
                                             Retries_, PrefillSpeed_, Holder},
      Router_(Shared_),
      Server_(Context_, Router_, makeCallerLimits(Options, Pool_),
              makeIdPrefix(Holder, Index)) {}

Worker::~Worker() { stop(); }

void Worker::start() {
  Thread_ = std::thread([this] { runContext(Context_, "worker"); });
}

void Worker::stop() {
  Context_.stop();
  if (Thread_.joinable())
    Thread_.join();
}

void Worker::serve(tcp::socket Socket) {
  asio::post(Context_, [this, Moved = std::move(Socket)]() mutable {
    Server_.serve(std::move(Moved));
  });
}

void Worker::setHolder(std::string Holder) {
  asio::post(Context_, [this, Moved = std::move(Holder)] {
    Shared_.Holder_ = Moved;
    Engines_.setHolder(Moved);
  });
}

void Worker::closeIdle() {
  asio::post(Context_, [this] { Server_.closeIdle(); });
}

} // namespace gooseberry
