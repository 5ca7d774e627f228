#include "gbsoak/SoakWorld.h"

#include "standin_platform/PlatformTexts.h"

#include <signal.h>

#include <array>
#include <cstdio>

namespace gooseberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint16_t PortsPerRelay = 10;
constexpr const char *KeyOne = "key-one";
constexpr const char *KeyTwo = "key-two";
constexpr const char *SecondDataCentre = "dc-b";
constexpr milliseconds RestartPause(300);
/// The time within which the platform wants everything back.
constexpr milliseconds RecoveryTime(12000);
constexpr milliseconds ShutdownTime(9000);
constexpr milliseconds Poll(50);

std::string organisationOf(const std::string &Request) {
  // Even clients hold the first key.
  const std::size_t Dash = Request.find('-');
  return std::stoi(Request.substr(1, Dash - 1)) % 2 == 0 ? "one" : "two";
}

} // namespace

SoakWorld::SoakWorld(SoakSettings Settings)
    : Settings_(std::move(Settings)), Random_(Settings_.Seed_),
      Store_(Context_) {
  Store_.start();
  for (const char *Id : {"plain-1", "plain-2"})
    addBackend(Id, BackendPart::Plain);
  for (const char *Id : {"prefill-1", "prefill-2"})
    addBackend(Id, BackendPart::Prefill);
  for (const char *Id : {"decode-1", "decode-2", "decode-3"})
    addBackend(Id, BackendPart::Decode);
  putConfiguration();
  for (std::size_t I = 0; I != Settings_.Relays_; ++I) {
    StoreLinks_.push_back(
        std::make_unique<TcpProxy>(Context_, Store_.address()));
    RelayPlace Place;
    Place.Name_ = "edge-" + std::to_string(I);
    Place.Program_ = Settings_.Program_;
    Place.Folder_ = Settings_.Folder_;
    Place.Store_ = StoreLinks_.back()->address();
    Place.Port_ =
        static_cast<std::uint16_t>(Settings_.Port_ + I * PortsPerRelay);
    Relays_.push_back(std::make_unique<RelayProcess>(std::move(Place)));
  }
}

std::size_t SoakWorld::draw(std::size_t Below) {
  return std::uniform_int_distribution<std::size_t>(0, Below - 1)(Random_);
}

milliseconds SoakWorld::drawMs(int From, int To) {
  return milliseconds(From + static_cast<int>(draw(To - From)));
}

void SoakWorld::addBackend(const char *Id, BackendPart Part) {
  Backend Server;
  Server.Face_ = std::make_unique<BackendFace>(Context_, Id, Part, Log_);
  Server.Face_->start();
  Server.Proxy_ = std::make_unique<TcpProxy>(Context_, Server.Face_->address());
  writeBackend(Server);
  Backends_.push_back(std::move(Server));
}

void SoakWorld::writeBackend(const Backend &Server) {
  RegisteredBackend Row;
  Row.Part_ = Server.Face_->part();
  Row.Service_ = Row.Part_ == BackendPart::Plain ? "booking" : "writer";
  Row.Address_ = Server.Proxy_->address();
  if (Server.Face_->id().ends_with("-2"))
    Row.Zone_ = SecondDataCentre;
  Row.IsLeaving_ = Server.IsLeavingRegistered_;
  Row.Starts_ = Server.Starts_;
  Store_.putServer(Server.Face_->id(), writeRegistration(Row));
}

void SoakWorld::putConfiguration() {
  ++Record_.ConfigurationVersion_;
  writeNewestConfiguration();
}

void SoakWorld::writeNewestConfiguration() {
  Store_.putConfiguration(writeConfiguration(Record_.ConfigurationVersion_));
}

void SoakWorld::writeEvacuation() {
  const std::string Key = std::string("evacuate/") + SecondDataCentre;
  if (IsEvacuated_)
    Store_.rows().put("op", Key, "{}");
  else
    Store_.rows().remove("op", Key);
}

std::vector<std::string> SoakWorld::run() {
  asio::co_spawn(Context_, play(), asio::detached);
  Context_.run();
  checkRuns();
  checkPauses();
  for (const auto &Each : Record_.Faults_)
    Faults_.push_back(Each);
  for (const auto &Each : Log_.Faults_)
    Faults_.push_back(Each);
  return Faults_;
}

asio::awaitable<void> SoakWorld::play() {
  for (const auto &Each : Relays_)
    startRelay(*Each);
  asio::co_spawn(Context_, watchRelays(), asio::detached);
  for (std::size_t I = 0; I != Settings_.Clients_; ++I)
    asio::co_spawn(Context_, runClient(I), asio::detached);
  asio::co_spawn(Context_, injectFaults(), asio::detached);
  co_await sleepFor(
      std::chrono::microseconds(static_cast<long>(Settings_.Seconds_ * 1e6)));
  IsOver_ = true;
  while (RunningFaults_ > 0)
    co_await sleepFor(Poll);
  co_await restoreStore();
  putConfiguration();
  co_await checkRecovery();
  co_await stopRelays();
  Context_.stop();
}

asio::awaitable<void> SoakWorld::injectFaults() {
  constexpr std::array<Fault, 16> Faults = {
      &SoakWorld::killRelay,           &SoakWorld::freezeRelay,
      &SoakWorld::terminateRelay,      &SoakWorld::hangUpRelay,
      &SoakWorld::takeStoreDown,       &SoakWorld::compactStore,
      &SoakWorld::restoreStore,        &SoakWorld::harmStoreLink,
      &SoakWorld::harmBackendLink,     &SoakWorld::failBackend,
      &SoakWorld::fillBackend,         &SoakWorld::limitBackend,
      &SoakWorld::pauseBackend,        &SoakWorld::drainBackend,
      &SoakWorld::changeConfiguration, &SoakWorld::evacuateDataCentre};
  co_await sleepFor(milliseconds(800));
  while (!IsOver_) {
    ++RunningFaults_;
    const auto Run =
        [this, Next = Faults[draw(Faults.size())]]() -> asio::awaitable<void> {
      co_await (this->*Next)();
      --RunningFaults_;
    };
    asio::co_spawn(Context_, Run, asio::detached);
    co_await sleepFor(drawMs(100, 700));
  }
}

asio::awaitable<void> SoakWorld::runClient(std::size_t Number) {
  SoakClient Client(Context_, "c" + std::to_string(Number), Record_);
  std::mt19937 Random(Settings_.Seed_ * 1000 + static_cast<unsigned>(Number));
  const std::string Key = Number % 2 == 0 ? KeyOne : KeyTwo;
  std::size_t At = Number % Relays_.size();
  while (!IsStopping_) {
    const auto Kind = static_cast<SoakKind>(Random() % 3);
    const unsigned Status =
        co_await Client.send(Relays_[At]->callers(), Kind, Key);
    // An open connection is used until its process is gone.
    if (Status == 0)
      At = Random() % Relays_.size();
    co_await sleepFor(milliseconds(20 + Random() % 60));
  }
}

asio::awaitable<void> SoakWorld::watchRelays() {
  while (!IsStopping_) {
    for (const auto &Each : Relays_) {
      if (!Each->hasEnded())
        continue;
      co_await sleepFor(RestartPause);
      if (!IsStopping_)
        startRelay(*Each);
    }
    co_await sleepFor(Poll);
  }
}

void SoakWorld::startRelay(RelayProcess &Relay) {
  noteDisturbed(Relay);
  Relay.start();
}

void SoakWorld::noteDisturbed(const RelayProcess &Relay) {
  Record_.Leaving_.onRelayDisturbed(Relay.callers(), steady_clock::now());
  Record_.Pauses_.onRelayDisturbed(Relay.callers(), steady_clock::now());
}

asio::awaitable<void> SoakWorld::killRelay() {
  anyRelay().signal(SIGKILL);
  co_return;
}

asio::awaitable<void> SoakWorld::freezeRelay() {
  RelayProcess &Frozen = anyRelay();
  Frozen.signal(SIGSTOP);
  noteDisturbed(Frozen);
  co_await sleepFor(drawMs(200, 1800));
  Frozen.signal(SIGCONT);
}

asio::awaitable<void> SoakWorld::terminateRelay() {
  anyRelay().signal(SIGTERM);
  co_return;
}

asio::awaitable<void> SoakWorld::hangUpRelay() {
  anyRelay().signal(SIGHUP);
  co_return;
}

asio::awaitable<void> SoakWorld::takeStoreDown() {
  Store_.setDown(true);
  co_await sleepFor(drawMs(300, 2500));
  Store_.setDown(false);
}

asio::awaitable<void> SoakWorld::compactStore() {
  Store_.rows().compact();
  co_return;
}

asio::awaitable<void> SoakWorld::restoreStore() {
  constexpr std::uint64_t OtherChanges = 100;
  const RowTable Copy = Store_.rows();
  Store_.rows().skipVersions(OtherChanges);
  putConfiguration();
  co_await sleepFor(drawMs(300, 2500));
  Store_.setDown(true);
  co_await sleepFor(drawMs(100, 1500));
  Store_.rows().restore(Copy);
  Store_.setDown(false);
  co_await sleepFor(drawMs(0, 600));
  // The operator and the servers write again what they wrote.
  writeNewestConfiguration();
  writeEvacuation();
  for (const Backend &Each : Backends_)
    writeBackend(Each);
}

asio::awaitable<void> SoakWorld::harmStoreLink() {
  TcpProxy &Link = *StoreLinks_[draw(StoreLinks_.size())];
  Link.setFault(static_cast<ProxyFault>(1 + draw(4)));
  co_await sleepFor(drawMs(200, 2000));
  Link.setFault(ProxyFault::None);
}

asio::awaitable<void> SoakWorld::harmBackendLink() {
  TcpProxy &Link = *anyBackend().Proxy_;
  Link.setFault(static_cast<ProxyFault>(1 + draw(4)));
  co_await sleepFor(drawMs(200, 1500));
  Link.setFault(ProxyFault::None);
}

asio::awaitable<void> SoakWorld::failBackend() {
  BackendFace &Face = *anyBackend().Face_;
  Face.setFailing(true);
  co_await sleepFor(drawMs(200, 1500));
  Face.setFailing(false);
}

asio::awaitable<void> SoakWorld::fillBackend() {
  BackendFace &Face = *anyBackend().Face_;
  Face.setFull(true);
  co_await sleepFor(drawMs(200, 1000));
  Face.setFull(false);
}

asio::awaitable<void> SoakWorld::pauseBackend() {
  BackendFace &Face = *anyBackend().Face_;
  Face.setFull(true, drawMs(700, 4000));
  co_await sleepFor(drawMs(200, 2500));
  Face.setFull(false);
}

asio::awaitable<void> SoakWorld::limitBackend() {
  BackendFace &Face = *anyBackend().Face_;
  Face.setLimit(std::to_string(drawMs(1000, 9000).count() / 1000.0));
  co_await sleepFor(drawMs(500, 2500));
  Face.setLimit("");
}

asio::awaitable<void> SoakWorld::drainBackend() {
  Backend &Server = anyBackend();
  if (Server.IsLeaving_)
    co_return;
  // Some registrations never say that the server leaves.
  Server.IsLeaving_ = true;
  Server.IsLeavingRegistered_ = draw(2) == 0;
  Server.Face_->setLeaving(true);
  writeBackend(Server);
  co_await sleepFor(drawMs(2000, 5000));
  Server.IsLeaving_ = false;
  Server.IsLeavingRegistered_ = false;
  ++Server.Starts_;
  Server.Face_->setLeaving(false);
  Record_.Leaving_.onServerStarted(Server.Face_->id(), steady_clock::now());
  Record_.Pauses_.onServerStarted(Server.Face_->id(), steady_clock::now());
  writeBackend(Server);
}

asio::awaitable<void> SoakWorld::changeConfiguration() {
  putConfiguration();
  co_return;
}

// One server of each part is in the other data centre and serves on.
asio::awaitable<void> SoakWorld::evacuateDataCentre() {
  if (IsEvacuated_)
    co_return;
  IsEvacuated_ = true;
  writeEvacuation();
  co_await sleepFor(drawMs(500, 4000));
  IsEvacuated_ = false;
  writeEvacuation();
}

asio::awaitable<void> SoakWorld::checkRecovery() {
  SoakClient Client(Context_, "c1000", Record_);
  const auto End = std::chrono::steady_clock::now() + RecoveryTime;
  for (const auto &Relay : Relays_) {
    for (const auto Kind : {SoakKind::Check, SoakKind::Booking,
                            SoakKind::Stream, SoakKind::Newest}) {
      unsigned Status = 0;
      while (Status != 200 && std::chrono::steady_clock::now() < End) {
        Status = co_await Client.send(Relay->callers(), Kind, KeyOne);
        if (Status != 200)
          co_await sleepFor(milliseconds(100));
      }
      if (Status != 200)
        Faults_.push_back("no recovery at " + Relay->callers() + ", status " +
                          std::to_string(Status));
    }
  }
}

asio::awaitable<void> SoakWorld::stopRelays() {
  IsStopping_ = true;
  for (const auto &Each : Relays_)
    Each->signal(SIGTERM);
  const auto End = std::chrono::steady_clock::now() + ShutdownTime;
  for (const auto &Each : Relays_) {
    while (!Each->hasEnded() && std::chrono::steady_clock::now() < End)
      co_await sleepFor(Poll);
    if (!Each->hasEnded())
      Faults_.push_back("a relay did not end after SIGTERM");
    if (Each->hasFailed())
      Faults_.push_back("a relay ended by itself: " + Each->failure());
  }
}

void SoakWorld::checkRuns() {
  for (const auto &[Request, Runs] : Log_.Runs_) {
    const auto Told = Record_.Answers_.find(Request);
    if (Told == Record_.Answers_.end()) {
      Faults_.push_back("a server ran " + Request + ", which nobody sent");
      continue;
    }
    const auto &Answer = Told->second;
    if (Answer.Kind_ == SoakKind::Booking && Runs.size() > 1)
      Faults_.push_back("booking " + Request + " ran " +
                        std::to_string(Runs.size()) + " times");
    const bool SaysNotRun = Answer.Status_ == 429 || Answer.Status_ == 503;
    if (Answer.Kind_ == SoakKind::Booking && SaysNotRun)
      Faults_.push_back(Request + " was refused as not run, and has run");
    for (const auto &Run : Runs) {
      if (Run.Organisation_ != organisationOf(Request))
        Faults_.push_back(Request + " ran for " + Run.Organisation_);
      checkLeaving(Request, Run);
    }
  }
}

void SoakWorld::checkPauses() {
  const auto FindRelay = [this](const std::string &Request) {
    const auto Found = Record_.Answers_.find(Request);
    return Found == Record_.Answers_.end() ? "" : Found->second.Relay_;
  };
  for (auto &Each : Record_.Pauses_.findFaults(Log_.Arrivals_, FindRelay))
    Faults_.push_back(std::move(Each));
}

void SoakWorld::checkLeaving(const std::string &Request, const SeenRun &Run) {
  const auto &Answer = Record_.Answers_.at(Request);
  if (Record_.Leaving_.isForbidden(Answer.Relay_, Run.Server_, Answer.SentAt_,
                                   Run.At_))
    Faults_.push_back(Request + " reached " + Run.Server_ +
                      ", which had told its relay that it leaves");
}

} // namespace gooseberry
