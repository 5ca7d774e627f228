#include "gooseberrybeam/relayd/HomeLink.h"

#include "gooseberrybeam/relayd/HomeCodec.h"
#include "support/FakeTables.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const OrganisationId Acme = {"acme"};

/// Records sent messages; tests inject received ones with `deliver`.
class FakeTransport : public PeerTransport {
public:
  using PeerTransport::deliver;

  /// \returns the messages of one type sent so far, oldest first.
  template <typename Message> std::vector<Message> sent() const {
    std::vector<Message> Found;
    for (const auto &Content : Sent_)
      if (const auto *Typed = std::get_if<Message>(&Content))
        Found.push_back(*Typed);
    return Found;
  }

private:
  void onMembers(std::span<const EpochMember>) override {}
  void onSend(const MemberId &, const PeerMessage &Message) override {
    const auto *Bytes = std::get_if<PlacementBytes>(&Message);
    REQUIRE(Bytes);
    const auto Parsed = parseHomeMessage(Bytes->Bytes_);
    REQUIRE(Parsed);
    Sent_.push_back(*Parsed);
  }

  std::vector<HomeMessage> Sent_;
};

/// An instance whose home is another instance.
class AttachedInstance {
public:
  AttachedInstance() {
    HomeSelector Selector({"one"}, "pools");
    const std::vector<HomeCandidate> Candidates = {{{"one"}, {}},
                                                   {{"two"}, {}}};
    Selector.setInstances(Candidates);
    Home_ = Selector.home(readBootClock());
    const InstanceId Self =
        Home_ == InstanceId{"one"} ? InstanceId{"two"} : InstanceId{"one"};
    HomeLink::Callbacks Handlers;
    Handlers.OnConfiguration_ = [](std::string_view) {};
    Handlers.IsStoreAvailable_ = [this] { return IsStoreAvailable_; };
    Link_ = std::make_unique<HomeLink>(Context_, Self, Directory_,
                                       RateLimitBounds(), Tables_,
                                       std::move(Handlers));
    auto Transport = std::make_unique<FakeTransport>();
    Transport_ = Transport.get();
    Link_->setTransport(std::move(Transport));
    const std::vector<RelayMember> Members = {{{{Self, 1}, "", {}}, {}},
                                              {{{Home_, 7}, "", {}}, {}}};
    Link_->setMembers(Members);
    Link_->start();
    Context_.poll();
  }

  /// Delivers a reply of the home to the latest heartbeat.
  /// \param Incarnation the incarnation of the home's process.
  /// \param Suspects the prompt segments that the home has found.
  /// \param Leaving the servers that have told others that they leave.
  /// \param Requests the requests that the home has found.
  void replyFromHome(std::uint64_t Incarnation,
                     std::vector<CrashSuspect> Suspects = {},
                     std::vector<LeavingServer> Leaving = {},
                     std::vector<RequestSuspect> Requests = {}) {
    HomeReply Reply;
    Reply.LeavingServers_ = std::move(Leaving);
    Reply.Sequence_ = heartbeats().back().Sequence_;
    Reply.CrashSuspects_ = std::move(Suspects);
    Reply.RequestSuspects_ = std::move(Requests);
    Transport_->deliver({Home_, Incarnation},
                        PlacementBytes{encodeHomeMessage(Reply)});
  }

  /// Delivers a reply of the home that tells of evacuated data centres.
  void tellEvacuation(const EvacuationState &State) {
    HomeReply Reply;
    Reply.Sequence_ = heartbeats().back().Sequence_;
    Reply.Evacuation_ = State;
    Transport_->deliver({Home_, 7}, PlacementBytes{encodeHomeMessage(Reply)});
  }
  /// Delivers a heartbeat of the other instance that tells of them.
  void probeWithEvacuation(const EvacuationState &State) {
    HomeHeartbeat Probe;
    Probe.Evacuation_ = State;
    Transport_->deliver({Home_, 7}, PlacementBytes{encodeHomeMessage(Probe)});
  }

  /// Starts a placement, which stays pending.
  void startPlacement() {
    asio::co_spawn(Context_, place(), asio::detached);
    Context_.poll();
  }

  /// Starts to ask whether a request may be sent to a server.
  void askForServer(const ServerId &Server) {
    MayCall_.reset();
    asio::co_spawn(Context_, ask(Server), asio::detached);
    Context_.poll();
  }
  /// Delivers the answer of the home to the latest question.
  void answerFromHome(Duration RetryAfter) {
    const auto Ticket = Transport_->sent<ServerTokenRequest>().back().Ticket_;
    Transport_->deliver({Home_, 7},
                        PlacementBytes{encodeHomeMessage(
                            ServerTokenAnswer{Ticket, RetryAfter})});
    Context_.poll();
  }
  /// Starts to ask whether a request may start.
  void askForTrial(const RequestFingerprint &Request) {
    Admission_.reset();
    asio::co_spawn(Context_, askTrial(Request), asio::detached);
    Context_.poll();
  }
  /// Delivers the answer of the home to the latest question about a request.
  void answerTrial(CrashAdmission Admission) {
    const auto Ticket = Transport_->sent<TrialRequest>().back().Ticket_;
    Transport_->deliver({Home_, 7}, PlacementBytes{encodeHomeMessage(
                                        TrialAnswer{Ticket, Admission})});
    Context_.poll();
  }
  /// \returns the outcome of the question, for which it waits.
  CrashAdmission admission() {
    while (!Admission_)
      Context_.run_one();
    return *Admission_;
  }
  /// Lets the wait for an answer run out.
  void awaitTimeout() {
    while (!MayCall_)
      Context_.run_one();
  }
  /// \returns the outcome of the question; none while it is open.
  std::optional<bool> mayCall() const { return MayCall_; }

  /// Delivers a reply of the home with load estimates.
  void replyWithLoads(std::vector<ServerLoadEstimate> Estimates) {
    HomeReply Reply;
    Reply.Sequence_ = heartbeats().back().Sequence_;
    Reply.ServerLoads_ = std::move(Estimates);
    Transport_->deliver({Home_, 7}, PlacementBytes{encodeHomeMessage(Reply)});
  }
  /// Delivers a heartbeat of the other instance.
  /// \returns this instance's reply.
  HomeReply replyTo(const HomeHeartbeat &Heartbeat) {
    Transport_->deliver({Home_, 7},
                        PlacementBytes{encodeHomeMessage(Heartbeat)});
    return Transport_->sent<HomeReply>().back();
  }
  /// Lets time pass until the instance has sent \p Count heartbeats.
  void awaitHeartbeats(std::size_t Count) {
    while (heartbeats().size() < Count)
      Context_.run_one();
  }

  HomeLink &link() { return *Link_; }
  BackendDirectory &directory() { return Directory_; }
  std::vector<HomeHeartbeat> heartbeats() const {
    return Transport_->sent<HomeHeartbeat>();
  }
  std::vector<TrialReport> trialReports() const {
    return Transport_->sent<TrialReport>();
  }
  std::size_t placementRequestCount() const {
    return Transport_->sent<PlacementRequest>().size();
  }

private:
  Task<void> ask(ServerId Server) {
    MayCall_ = co_await Link_->mayCallServer(Server, Scope_);
  }
  Task<void> askTrial(RequestFingerprint Request) {
    const RequestId Id = {"r"};
    Admission_ = co_await Link_->admit(Id, Request, Scope_);
  }
  Task<void> place() {
    PlacementRequest Request;
    Request.Request_ = {"r"};
    Request.Organisation_ = Acme;
    co_await Link_->place(Request, Scope_);
  }

  asio::io_context Context_;
  BackendDirectory Directory_;
  FakeTables Tables_;
  CancelScope Scope_;
  std::optional<bool> MayCall_;
  std::optional<CrashAdmission> Admission_;
  bool IsStoreAvailable_ = true;
  InstanceId Home_;
  std::unique_ptr<HomeLink> Link_;
  FakeTransport *Transport_ = nullptr;
};

} // namespace

TEST_CASE("An instance sends its whole state to its home", "[relay]") {
  AttachedInstance Instance;
  Instance.link().recordTokenUsage(Acme, 500);
  Instance.startPlacement();
  REQUIRE(Instance.heartbeats().size() == 1);
  REQUIRE(Instance.placementRequestCount() == 1);

  SECTION("once if the home replies") {
    Instance.replyFromHome(7);
    Instance.replyFromHome(7);
    CHECK(Instance.heartbeats().size() == 1);
    CHECK(Instance.placementRequestCount() == 1);
  }
  SECTION("with what the home's last process had found of prompts") {
    const std::vector<CrashSuspect> Suspects = {{{{"harmful"}}, 3, 2s}};
    Instance.replyFromHome(7, Suspects);
    Instance.replyFromHome(8);
    CHECK(Instance.heartbeats().back().CrashSuspects_ == Suspects);
  }
  SECTION("with what it had found of requests") {
    const std::vector<RequestSuspect> Requests = {{{1, 2}, 3, 2s}};
    Instance.replyFromHome(7, {}, {}, Requests);
    Instance.replyFromHome(8);
    CHECK(Instance.heartbeats().back().RequestSuspects_ == Requests);
  }
  SECTION("with the crashes that the last one may not have heard of") {
    Instance.replyFromHome(7);
    const TrialReport Crash = {{"r"}, {1, 2}, TrialOutcome::Crashed, {"s1"}};
    Instance.link().report(Crash);
    Instance.link().report(
        TrialReport{{"r"}, {1, 3}, TrialOutcome::Answered, {}});
    REQUIRE(Instance.trialReports().size() == 2);
    Instance.replyFromHome(8);
    Instance.replyFromHome(8);
    REQUIRE(Instance.trialReports().size() == 3);
    CHECK(Instance.trialReports().back() == Crash);
  }
  SECTION("with the limits that servers state") {
    Instance.replyFromHome(7);
    Instance.link().onServerResponse({"s1"}, 2.5);
    Instance.replyFromHome(8);
    CHECK(Instance.heartbeats().back().ServerLimits_ ==
          std::vector<ServerLimit>{{{"s1"}, 2.5}});
  }
  SECTION("with the servers that have said that they leave") {
    BackendEntry Server;
    Server.Id_ = {"s1"};
    Instance.directory().put(Server);
    Instance.directory().onLeaving(ServerId{"s1"});
    Instance.replyFromHome(7);
    Instance.replyFromHome(8);
    CHECK(Instance.heartbeats().back().LeavingServers_ ==
          std::vector<LeavingServer>{{{"s1"}, 0}});
  }
  SECTION("again if the home restarted between two replies") {
    Instance.replyFromHome(7);
    Instance.replyFromHome(8);
    REQUIRE(Instance.heartbeats().size() == 2);
    const HomeHeartbeat Reattachment = Instance.heartbeats().back();
    CHECK(Reattachment.IsAttached_);
    CHECK(Reattachment.Attachment_ !=
          Instance.heartbeats().front().Attachment_);
    REQUIRE(Reattachment.TokenUsage_.size() == 1);
    CHECK(Reattachment.TokenUsage_.front().Tokens_ == 500);
    CHECK(Instance.placementRequestCount() == 2);
    Instance.replyFromHome(8);
    CHECK(Instance.heartbeats().size() == 2);
  }
}

TEST_CASE("An instance does not use a server that told another one that it "
          "leaves",
          "[relay][leaving]") {
  AttachedInstance Instance;
  BackendEntry Server;
  Server.Id_ = {"s1"};
  Server.StartTimeMs_ = 5;
  Instance.directory().put(Server);

  SECTION("after a reply of the home") {
    Instance.replyFromHome(7, {}, {{{"s1"}, 5}});
    CHECK(Instance.directory().find({"s1"})->IsLeaving_);
  }
  SECTION("unless the server has started again since") {
    Instance.replyFromHome(7, {}, {{{"s1"}, 4}});
    CHECK_FALSE(Instance.directory().find({"s1"})->IsLeaving_);
  }
}

TEST_CASE("Requests to a server with a limit wait for a token of the home",
          "[relay]") {
  AttachedInstance Instance;
  Instance.askForServer({"s1"});
  REQUIRE(Instance.mayCall() == true);
  Instance.link().onServerResponse({"s1"}, 2.5);
  Instance.askForServer({"s1"});
  REQUIRE_FALSE(Instance.mayCall());

  SECTION("and are sent with one") {
    Instance.answerFromHome(0ms);
    CHECK(Instance.mayCall() == true);
    CHECK(Instance.link().availableAt({"s1"}) < readBootClock());
  }
  SECTION("and spare the server until there is one") {
    Instance.answerFromHome(10s);
    CHECK(Instance.mayCall() == false);
    CHECK(Instance.link().availableAt({"s1"}) > readBootClock() + 5s);
    Instance.link().onServerResponse({"s1"}, std::nullopt);
    CHECK(Instance.link().availableAt({"s1"}) < readBootClock());
  }
  SECTION("and are not sent if the home does not answer") {
    Instance.awaitTimeout();
    CHECK(Instance.mayCall() == false);
  }
}

TEST_CASE("Requests to a cold server of a plain service wait for a token, too",
          "[relay][cold]") {
  AttachedInstance Instance;
  BackendEntry Server;
  Server.Id_ = {"s1"};
  Server.Service_ = {"plain"};
  Server.ColdRemaining_ = 1min;
  Instance.directory().put(Server);
  Instance.directory().coldServers().onRegistration(Server, readBootClock());
  const auto Configure = [&](std::optional<ColdStart> Start) {
    RelayConfigurationParts Parts;
    Parts.Services_ = {{{"plain"}, 64, std::nullopt, Start}};
    Instance.link().configure(
        std::make_shared<const RelayConfiguration>(std::move(Parts)));
    Instance.askForServer({"s1"});
  };
  SECTION("and spare it until there is one") {
    Configure(ColdStart{10s, 2});
    REQUIRE_FALSE(Instance.mayCall());
    Instance.answerFromHome(10s);
    CHECK(Instance.mayCall() == false);
    CHECK(Instance.link().availableAt({"s1"}) > readBootClock() + 5s);
  }
  SECTION("and use another one if the home does not answer") {
    Configure(ColdStart{10s, 2});
    Instance.awaitTimeout();
    CHECK(Instance.mayCall() == false);
  }
  SECTION("but no message is sent if the service has no cold start") {
    Configure(std::nullopt);
    CHECK(Instance.mayCall() == true);
  }
}

TEST_CASE("An instance asks its home about suspect requests only",
          "[relay][budget]") {
  const RequestFingerprint Quarantined = {1, 1};
  const RequestFingerprint Suspect = {1, 2};
  const RequestFingerprint Free = {1, 3};
  AttachedInstance Instance;
  Instance.replyFromHome(7, {}, {}, {{Quarantined, 3, 2s}, {Suspect, 2, 1s}});
  CHECK(Instance.link().isSuspect(Quarantined));
  CHECK(Instance.link().isSuspect(Suspect));
  CHECK_FALSE(Instance.link().isSuspect(Free));

  SECTION("and does as it says") {
    for (const auto Admission :
         {CrashAdmission::Free, CrashAdmission::Trial, CrashAdmission::Held,
          CrashAdmission::Quarantined}) {
      Instance.askForTrial(Suspect);
      Instance.answerTrial(Admission);
      CHECK(Instance.admission() == Admission);
    }
  }
  SECTION("and starts another one while it does not answer") {
    Instance.askForTrial(Free);
    CHECK(Instance.admission() == CrashAdmission::Free);
  }
  SECTION("and starts none of them while it does not answer") {
    Instance.askForTrial(Suspect);
    CHECK(Instance.admission() == CrashAdmission::Held);
    Instance.askForTrial(Quarantined);
    CHECK(Instance.admission() == CrashAdmission::Quarantined);
  }
  SECTION("and knows those that were saved before it has a reply") {
    const std::vector<RequestSuspect> Saved = {{Free, 3, 0s}};
    Instance.link().mergeRequestSuspects(Saved);
    CHECK(Instance.link().isSuspect(Free));
  }
  SECTION("and no longer asks once they are cleared") {
    Instance.replyFromHome(7);
    CHECK_FALSE(Instance.link().isSuspect(Suspect));
  }
}

TEST_CASE("An instance shares budgets once it knows who shares them",
          "[relay]") {
  asio::io_context Context;
  BackendDirectory Directory;
  FakeTables Tables;
  HomeLink::Callbacks Handlers;
  Handlers.OnConfiguration_ = [](std::string_view) {};
  Handlers.IsStoreAvailable_ = [] { return true; };
  HomeLink Link(Context, {"one"}, Directory, RateLimitBounds(), Tables,
                std::move(Handlers));
  Link.start();
  Context.run_for(50ms);
  CHECK_FALSE(Link.budgetSharers().IncludeSelf_);
  const std::vector<RelayMember> Members = {{{{{"one"}, 1}, "", {}}, {}},
                                            {{{{"two"}, 7}, "", {}}, {}}};
  Link.setMembers(Members);
  Context.run_for(50ms);
  CHECK(Link.budgetSharers().IncludeSelf_);
  CHECK(Link.budgetSharers().Count_ == 2);
  Context.stop();
}

TEST_CASE("An instance that the store rejects learns of an evacuation",
          "[relay][regions]") {
  AttachedInstance Instance;
  const EvacuationState Evacuation = {{12, 0}, {{"dc"}}};

  SECTION("from its home, and tells the next one") {
    Instance.tellEvacuation(Evacuation);
    CHECK(Instance.directory().evacuation() == Evacuation);
    Instance.replyFromHome(8);
    CHECK(Instance.heartbeats().back().Evacuation_ == Evacuation);
  }
  SECTION("from any heartbeat, if it is a home itself") {
    Instance.probeWithEvacuation(Evacuation);
    CHECK(Instance.directory().evacuation() == Evacuation);
  }
  SECTION("and that it has ended, but not from an older message") {
    Instance.tellEvacuation(Evacuation);
    Instance.tellEvacuation({{11, 0}, {}});
    CHECK(Instance.directory().evacuation() == Evacuation);
    Instance.tellEvacuation({{13, 0}, {}});
    CHECK(Instance.directory().evacuation().DataCentres_.empty());
  }
}

TEST_CASE("Instances exchange the load of servers through their home",
          "[relay][load]") {
  const std::vector<ServerLoadReport> Reports = {{{"s1"}, 3, 2, 20, 1}};
  const std::vector<ServerLoadEstimate> Estimates = {
      {{"s1"}, 30, 20, 25, 0, 10ms}};
  HomeHeartbeat FromOther;
  FromOther.Sequence_ = 1;
  FromOther.IsAttached_ = true;
  FromOther.ServerLoads_ = Reports;
  AttachedInstance Instance;

  SECTION("if they share it") {
    int Received = 0;
    std::vector<ServerLoadEstimate> Latest;
    HomeLink::ServerLoadHandlers Handlers;
    Handlers.TakeReports_ = [&Reports] { return std::vector(Reports); };
    Handlers.OnEstimates_ = [&](std::span<const ServerLoadEstimate> Estimated) {
      ++Received;
      Latest.assign(Estimated.begin(), Estimated.end());
    };
    Instance.link().shareServerLoads(std::move(Handlers));
    Instance.replyWithLoads(Estimates);
    CHECK(Latest == Estimates);

    SECTION("with each heartbeat to the home") {
      Instance.awaitHeartbeats(2);
      CHECK(Instance.heartbeats().back().ServerLoads_ == Reports);
    }
    SECTION("and again after the home has restarted") {
      Instance.replyFromHome(8);
      CHECK(Instance.heartbeats().back().IsAttached_);
      CHECK(Instance.heartbeats().back().ServerLoads_ == Reports);
      // The new process has no estimates yet.
      Instance.replyFromHome(8);
      CHECK(Latest.empty());
    }
    SECTION("and the next home states it to those that attach: guards against "
            "two homes of which one knows nothing") {
      BackendEntry Server;
      Server.Id_ = {"s1"};
      Instance.directory().put(Server);
      const HomeReply Reply = Instance.replyTo(FromOther);
      REQUIRE(Reply.ServerLoads_.size() == 1);
      // Scaled from one attached instance to both.
      CHECK(Reply.ServerLoads_.front().InFlight_ == 6);
      CHECK(Reply.ServerLoads_.front().LastingMs_ == 20);
    }
  }
  SECTION("and send none if they do not: guards against a change for "
          "deployments without the setting") {
    Instance.replyWithLoads(Estimates);
    Instance.awaitHeartbeats(2);
    CHECK(Instance.heartbeats().back().ServerLoads_.empty());
    CHECK(Instance.replyTo(FromOther).ServerLoads_.empty());
  }
}
