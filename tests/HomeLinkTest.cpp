#include "gooseberrybeam/relayd/HomeLink.h"

#include "gooseberrybeam/relayd/HomeCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const OrganisationId Acme = {"acme"};

/// Keeps what is sent, and delivers what a test says.
class FakeTransport : public PeerTransport {
public:
  using PeerTransport::deliver;

  /// \returns the messages of a type that were sent so far.
  template <typename Message> std::vector<Message> sent() const {
    std::vector<Message> Out;
    for (const auto &Each : Sent_)
      if (const auto *Found = std::get_if<Message>(&Each))
        Out.push_back(*Found);
    return Out;
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

/// An instance whose home is another one.
class LinkedInstance {
public:
  LinkedInstance() {
    HomeSelector Ranking({"one"}, "pools");
    const std::vector<InstanceId> Names = {{"one"}, {"two"}};
    Ranking.setInstances(Names);
    Home_ = Ranking.home(readBootClock());
    const InstanceId Self =
        Home_ == InstanceId{"one"} ? InstanceId{"two"} : InstanceId{"one"};
    HomeLink::Callbacks Handlers;
    Handlers.OnConfiguration_ = [](std::string_view) {};
    Handlers.OnServers_ = [](const ServersCopy &) {};
    Handlers.ServersVersion_ = [] { return std::uint64_t{0}; };
    Handlers.HasStore_ = [] { return true; };
    Handlers.CopyServers_ = [] { return ServersCopy(); };
    Link_ = std::make_unique<HomeLink>(Context_, Self, Directory_, 8s,
                                       std::move(Handlers));
    auto Transport = std::make_unique<FakeTransport>();
    Transport_ = Transport.get();
    Link_->open(std::move(Transport));
    Link_->setMembers({{{Self, 1}, "", {}}, {{Home_, 7}, "", {}}});
    Link_->start();
    Context_.poll();
  }

  /// The home answers the newest heartbeat.
  /// \param Incarnation of the home's process.
  void answer(std::uint64_t Incarnation) {
    HomeReply Reply;
    Reply.Sequence_ = attachments().back().Sequence_;
    Transport_->deliver({Home_, Incarnation},
                        PlacementBytes{encodeHomeMessage(Reply)});
  }

  /// A generation asks for engines.
  void ask() {
    asio::co_spawn(Context_, place(), asio::detached);
    Context_.poll();
  }

  HomeLink &link() { return *Link_; }
  std::vector<HomeHeartbeat> attachments() const {
    return Transport_->sent<HomeHeartbeat>();
  }
  std::size_t asks() const {
    return Transport_->sent<PlacementRequest>().size();
  }

private:
  Task<void> place() {
    PlacementRequest Ask;
    Ask.Request_ = {"r"};
    Ask.Organisation_ = Acme;
    co_await Link_->place(Ask, Scope_);
  }

  asio::io_context Context_;
  BackendDirectory Directory_;
  CancelScope Scope_;
  InstanceId Home_;
  std::unique_ptr<HomeLink> Link_;
  FakeTransport *Transport_ = nullptr;
};

} // namespace

TEST_CASE("An instance tells its home all that it knows", "[relay]") {
  LinkedInstance Instance;
  Instance.link().noteUse(Acme, 500);
  Instance.ask();
  REQUIRE(Instance.attachments().size() == 1);
  REQUIRE(Instance.asks() == 1);

  SECTION("once, if the home answers") {
    Instance.answer(7);
    Instance.answer(7);
    CHECK(Instance.attachments().size() == 1);
    CHECK(Instance.asks() == 1);
  }
  SECTION("again, if the home's process was replaced unnoticed") {
    Instance.answer(7);
    Instance.answer(8);
    REQUIRE(Instance.attachments().size() == 2);
    const HomeHeartbeat Again = Instance.attachments().back();
    CHECK(Again.IsAttached_);
    CHECK(Again.Attachment_ != Instance.attachments().front().Attachment_);
    REQUIRE(Again.TokenUsage_.size() == 1);
    CHECK(Again.TokenUsage_.front().Tokens_ == 500);
    CHECK(Instance.asks() == 2);
    Instance.answer(8);
    CHECK(Instance.attachments().size() == 2);
  }
}
