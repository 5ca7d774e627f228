/// \file
/// Several instances of the relay in front of the same backend servers.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_RELAYFLEET_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_RELAYFLEET_H

#include "support/RelayUnderTest.h"

#include <boost/asio/post.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// Hands messages to the other instances of the same test.
class FleetTransport final : public PeerTransport {
public:
  /// Where each instance of a test receives.
  using Hub = std::map<InstanceId, FleetTransport *>;

  FleetTransport(asio::io_context &Context, MemberId Self, Hub &Instances)
      : Context_(Context), Self_(std::move(Self)), Instances_(Instances) {
    Instances_[Self_.Name_] = this;
  }
  ~FleetTransport() override { Instances_.erase(Self_.Name_); }
  FleetTransport(const FleetTransport &) = delete;
  FleetTransport &operator=(const FleetTransport &) = delete;

private:
  void onMembers(std::span<const EpochMember>) override {}
  void onSend(const MemberId &To, const PeerMessage &Message) override {
    asio::post(Context_, [&Hub = Instances_, To, From = Self_, Message] {
      const auto Found = Hub.find(To.Name_);
      if (Found != Hub.end())
        Found->second->deliver(From, Message);
    });
  }

  asio::io_context &Context_;
  MemberId Self_;
  Hub &Instances_;
};

/// Instances that reach each other, some of which may be cut off from all
/// servers.
class RelayFleet {
public:
  /// \param Count the number of instances.
  explicit RelayFleet(std::size_t Count) {
    std::vector<RelayMember> Members;
    for (std::size_t I = 0; I != Count; ++I) {
      const InstanceId Name = {"i" + std::to_string(I)};
      Relays_.push_back(std::make_unique<RelayUnderTest>(Name, &Context_));
      RelayMember Member;
      Member.Peer_.Id_ = {Name, I + 1};
      Member.CallerAddress_ = {Relays_.back()->callerAddress()};
      Members.push_back(Member);
    }
    for (std::size_t I = 0; I != Relays_.size(); ++I) {
      HomeLink &Home = Relays_[I]->context().Home_;
      Home.setTransport(std::make_unique<FleetTransport>(
          Context_, Members[I].Peer_.Id_, Hub_));
      Home.setMembers(Members);
    }
  }

  /// Registers a server at all instances.
  /// \param Id its id.
  /// \param Role its role; none for a server of the plain service.
  /// \param Answers its answers.
  void addServer(std::string_view Id, std::optional<EngineRole> Role,
                 const ScriptedBackend::Script &Answers) {
    ScriptedBackend &Server = Relays_[0]->addServer(Id, Role, Answers);
    Servers_.push_back(&Server);
    const BackendEntry Entry = *Relays_[0]->directory().find({std::string(Id)});
    for (std::size_t I = 1; I != Relays_.size(); ++I)
      Relays_[I]->directory().put(Entry);
  }
  /// Cuts an instance off from all servers, or heals the cut.
  /// \param Index the instance.
  /// \param How how new connections fail.
  void cutOff(std::size_t Index, RelayUnderTest::Cut How) {
    std::set<unsigned short> Ports;
    for (const ScriptedBackend *Each : Servers_)
      Ports.insert(Each->port());
    Relays_[Index]->cutOff(How, std::move(Ports));
  }
  /// \returns an instance.
  RelayUnderTest &relay(std::size_t Index) { return *Relays_[Index]; }
  /// Lets all instances and servers run.
  void runFor(Duration Time) { Context_.run_for(Time); }
  /// \returns the requests that reached servers.
  std::size_t requestsServed() const {
    std::size_t Count = 0;
    for (const ScriptedBackend *Each : Servers_)
      Count += Each->requests().size();
    return Count;
  }

private:
  asio::io_context Context_;
  FleetTransport::Hub Hub_;
  std::vector<std::unique_ptr<RelayUnderTest>> Relays_;
  std::vector<ScriptedBackend *> Servers_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_RELAYFLEET_H
