/// \file
/// Relays as processes, stand-ins around them, callers, and faults by a seed.
#ifndef TOOLS_GBSOAK_SOAKWORLD_H
#define TOOLS_GBSOAK_SOAKWORLD_H

#include "gbsoak/RelayProcess.h"
#include "gbsoak/SoakClient.h"
#include "gbsoak/TcpProxy.h"
#include "standin_platform/BackendFace.h"
#include "standin_platform/StoreFace.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace gooseberry {

/// What a soak does.
struct SoakSettings {
  std::string Program_ = "build/release/gooseberry-relay";
  std::string Folder_ = "/tmp";
  std::uint32_t Seed_ = 1;
  double Seconds_ = 6;
  std::uint16_t Port_ = 23000;
  std::size_t Relays_ = 3;
  std::size_t Clients_ = 12;
};

/// Runs one soak and checks the promises from what callers and servers saw.
class SoakWorld {
public:
  /// \param Settings what to do.
  explicit SoakWorld(SoakSettings Settings);
  /// Runs the soak.
  /// \returns what went wrong, one sentence each.
  std::vector<std::string> run();
  /// \returns how many answers were whole and their own.
  std::uint64_t served() const { return Record_.Served_; }

private:
  struct Backend {
    std::unique_ptr<BackendFace> Face_;
    std::unique_ptr<TcpProxy> Proxy_;
    bool IsLeaving_ = false;
    bool IsLeavingRegistered_ = false;
    std::uint64_t Starts_ = 1; ///< Of its process.
  };
  using Fault = asio::awaitable<void> (SoakWorld::*)();

  asio::awaitable<void> play();
  asio::awaitable<void> injectFaults();
  asio::awaitable<void> runClient(std::size_t Number);
  asio::awaitable<void> watchRelays();
  asio::awaitable<void> checkRecovery();
  asio::awaitable<void> stopRelays();

  asio::awaitable<void> killRelay();
  asio::awaitable<void> freezeRelay();
  asio::awaitable<void> terminateRelay();
  asio::awaitable<void> hangUpRelay();
  asio::awaitable<void> takeStoreDown();
  asio::awaitable<void> compactStore();
  asio::awaitable<void> restoreStore();
  asio::awaitable<void> harmStoreLink();
  asio::awaitable<void> harmBackendLink();
  asio::awaitable<void> failBackend();
  asio::awaitable<void> fillBackend();
  asio::awaitable<void> pauseBackend();
  asio::awaitable<void> limitBackend();
  asio::awaitable<void> drainBackend();
  asio::awaitable<void> changeConfiguration();
  asio::awaitable<void> evacuateDataCentre();

  void addBackend(const char *Id, BackendPart Part);
  void writeBackend(const Backend &Server);
  void putConfiguration();
  void writeNewestConfiguration();
  void writeEvacuation();
  void checkRuns();
  void checkPauses();
  void checkLeaving(const std::string &Request, const SeenRun &Run);
  void startRelay(RelayProcess &Relay);
  void noteDisturbed(const RelayProcess &Relay);
  std::size_t draw(std::size_t Below);
  std::chrono::milliseconds drawMs(int From, int To);
  RelayProcess &anyRelay() { return *Relays_[draw(Relays_.size())]; }
  Backend &anyBackend() { return Backends_[draw(Backends_.size())]; }

  SoakSettings Settings_;
  std::mt19937 Random_;
  asio::io_context Context_;
  RunLog Log_;
  SoakRecord Record_;
  StoreFace Store_;
  std::vector<Backend> Backends_;
  std::vector<std::unique_ptr<TcpProxy>> StoreLinks_;
  std::vector<std::unique_ptr<RelayProcess>> Relays_;
  std::vector<std::string> Faults_;
  std::size_t RunningFaults_ = 0;
  bool IsEvacuated_ = false; ///< The second data centre.
  bool IsOver_ = false;      ///< No more faults.
  bool IsStopping_ = false;  ///< Relays are not started again.
};

} // namespace gooseberry

#endif // TOOLS_GBSOAK_SOAKWORLD_H
