#include "gooseberrybeam/http/Endpoint.h"
#include "gooseberrybeam/peers/TcpPeerTransport.h"
#include "peers/MessageFramer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <stdexcept>

namespace gooseberry {
namespace {

namespace asio = boost::asio;

MemberId id(const std::string &Name) { return {InstanceId{Name}, 7}; }

std::unique_ptr<TcpPeerTransport> makePeer(asio::io_context &Context,
                                           const std::string &Name,
                                           const std::string &Key) {
  return takeValue(
      TcpPeerTransport::make(Context, {id(Name), "127.0.0.1:0", Key}));
}

/// Runs the context until a condition holds, for a bounded time.
template <typename Condition>
bool runUntil(asio::io_context &Context, const Condition &IsMet) {
  const TimePoint End = readBootClock() + std::chrono::seconds(20);
  while (!IsMet() && readBootClock() < End)
    Context.run_one_for(std::chrono::milliseconds(50));
  return IsMet();
}

LimitMessage makeLimits() {
  LimitMessage Message;
  Message.FirstSequence_ = 3;
  Message.AppliedUpTo_ = 9;
  Message.Transfers_ = {{77, 4, {{1, 2}, 3}}, {78, 4, {{4, 5}, 0}}};
  Message.Demands_ = {{77, 10, 5, 1}};
  Message.Recalls_ = {{77, 6, true}};
  Message.Shortages_ = {{78, std::chrono::milliseconds(20)}};
  Message.Reports_ = {{2, 4, 11, {{77, {8, 9}}}}};
  Message.ReportAcks_ = {{2, 4}};
  return Message;
}

// Guards against memory that anyone who connects can take.
TEST_CASE("A peer that has not proved who it is may announce a short message "
          "only",
          "[peers]") {
  constexpr std::size_t ShortMessage = 64;
  const std::string Long = frameMessage(std::string(ShortMessage + 1, 'a'));
  MessageFramer Framer;
  Framer.setMaxMessage(ShortMessage);

  SECTION("and a longer one breaks the stream before it has arrived") {
    Framer.feed(Long.substr(0, 5));
    CHECK_FALSE(Framer.next());
    CHECK(Framer.isBroken());
  }
  SECTION("and any one after its proof") {
    Framer.feed(frameMessage("proof") + Long);
    CHECK(Framer.next() == "proof");
    Framer.setMaxMessage(MaxPeerMessage);
    REQUIRE(Framer.next());
    CHECK_FALSE(Framer.isBroken());
  }
}

TEST_CASE("Messages between daemons survive their encoding", "[peers]") {
  EpochDocument Document;
  Document.Epoch_ = 5;
  Document.Members_ = {{id("a"), "127.0.0.1:1", {"d1"}, 2}};
  Document.Departed_ = {{id("b"), 5}};
  Document.Shards_ = {{id("a"), 3}, {id("a"), 5}};
  const std::vector<PeerMessage> Messages{
      MembershipMessage(Heartbeat{1, 2, 3}),
      MembershipMessage(HeartbeatAck{1, 2, 3}),
      MembershipMessage(SuspectNotice{id("x")}),
      MembershipMessage(EpochQuery{}),
      MembershipMessage(EpochConfirm{4}),
      MembershipMessage(Goodbye{}),
      MembershipMessage(DocumentRequest{}),
      MembershipMessage(DocumentReply{Document}),
      makeLimits(),
      ConfigBytes{"c"},
      PlacementBytes{"p"},
      HoldingQuestion{{{"r1"}, {"r2"}}},
      HoldingAnswer{{{"r1"}}},
      LeavingNotice{{"127.0.0.1:9"}}};
  for (const PeerMessage &Message : Messages)
    CHECK(parsePeerMessage(encodePeerMessage(Message)) == Message);
  CHECK_FALSE(parsePeerMessage("\xff\xff not a message"));
  CHECK_FALSE(parsePeerMessage(""));
}

TEST_CASE("Daemons talk over authenticated connections", "[peers]") {
  asio::io_context Context;
  const auto Left = makePeer(Context, "left", "shared key");
  const auto Right = makePeer(Context, "right", "shared key");
  const std::vector<EpochMember> Members{
      {id("left"), Left->address(), {}, 1},
      {id("right"), Right->address(), {}, 1}};
  Left->setMembers(Members);
  Right->setMembers(Members);
  std::vector<PeerMessage> Arrived;
  MemberId Sender;
  Right->setHandler([&](const MemberId &From, PeerMessage Message) {
    Sender = From;
    Arrived.push_back(std::move(Message));
  });

  SECTION("In order, and with the sender's identity") {
    for (std::uint64_t I = 0; I < 1000; ++I)
      Left->send(id("right"), MembershipMessage(Heartbeat{I, 1, 1}));
    // More than the outbox before connecting takes is dropped and counted.
    REQUIRE(runUntil(Context, [&] { return Arrived.size() >= 256; }));
    CHECK(Sender == id("left"));
    CHECK(Left->counters().MessagesDropped_ == 744);
    const Heartbeat Last =
        std::get<Heartbeat>(std::get<MembershipMessage>(Arrived.back()));
    CHECK(Last.Number_ == 255);
    SECTION("Answers use the same connection") {
      bool IsAnswered = false;
      Left->setHandler(
          [&](const MemberId &, const PeerMessage &) { IsAnswered = true; });
      Right->send(id("left"), ConfigBytes{std::string(1 << 20, 'x')});
      CHECK(runUntil(Context, [&] { return IsAnswered; }));
      CHECK(Right->counters().Connected_ == 1);
    }
  }
  SECTION("A message that is too large for a peer is dropped alone") {
    Left->send(id("right"), MembershipMessage(Goodbye{}));
    REQUIRE(runUntil(Context, [&] { return Arrived.size() == 1; }));
    Left->send(id("right"), ConfigBytes{std::string(5 << 20, 'x')});
    CHECK(Left->counters().MessagesDropped_ == 1);
    Left->send(id("right"), MembershipMessage(Goodbye{}));
    CHECK(runUntil(Context, [&] { return Arrived.size() == 2; }));
    CHECK(Right->counters().Connected_ == 1);
  }
  SECTION("A message whose handler throws ends neither process nor link") {
    Right->setHandler([&](const MemberId &, PeerMessage Message) {
      if (std::holds_alternative<ConfigBytes>(Message))
        throw std::runtime_error("odd message");
      Arrived.push_back(std::move(Message));
    });
    Left->send(id("right"), ConfigBytes{"odd"});
    Left->send(id("right"), MembershipMessage(Goodbye{}));
    CHECK(runUntil(Context, [&] { return !Arrived.empty(); }));
    CHECK(Right->counters().Connected_ == 1);
  }
  SECTION("A daemon with another key is refused by both ends") {
    const auto Stranger = makePeer(Context, "stranger", "another key");
    Stranger->setMembers(Members);
    Stranger->send(id("right"), MembershipMessage(Goodbye{}));
    REQUIRE(
        runUntil(Context, [&] { return Stranger->counters().Refused_ > 0; }));
    CHECK(Arrived.empty());
    CHECK(Right->counters().Connected_ == 0);
  }
  SECTION("A message to a former incarnation is not delivered") {
    Right->setSelf({InstanceId{"right"}, 8});
    Left->send(id("right"), MembershipMessage(Goodbye{}));
    REQUIRE(runUntil(Context, [&] { return Left->counters().Refused_ > 0; }));
    CHECK(Arrived.empty());
  }
  SECTION("A connection that goes silent is closed and replaced") {
    // The peer's address accepts connections but never answers.
    asio::ip::tcp::acceptor Silent(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
    std::vector<EpochMember> Moved = Members;
    Moved[1].PeerAddress_ =
        "127.0.0.1:" + std::to_string(Silent.local_endpoint().port());
    Left->setMembers(Moved);
    Left->send(id("right"), MembershipMessage(EpochConfirm{1}));
    std::size_t Polls = 0;
    runUntil(Context, [&] { return ++Polls > 20; });
    Left->setMembers(Members);
    CHECK(runUntil(Context, [&] { return !Arrived.empty(); }));
  }
}

TEST_CASE("Bytes without end on a peer's port end with their connection",
          "[peers][odd]") {
  asio::io_context Context;
  const auto Peer = makePeer(Context, "peer", "shared key");
  std::string Start;
  std::string Repeated(512, 'a');

  SECTION("that are no HTTP/2") {}
  SECTION("that are a head") {
    using namespace std::string_literals;
    // The preface, settings, and a head that is continued again and again.
    Start = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"s + "\0\0\0\x4\0\0\0\0\0"s +
            "\0\0\0\x1\0\0\0\0\x1"s;
    // One field that is not indexed: `x: ` and 200 letters.
    const std::string Field = "\0\x01x\x7f\x49"s + std::string(200, 'a');
    Repeated =
        "\0\0"s + static_cast<char>(Field.size()) + "\x9\0\0\0\0\x1"s + Field;
  }
  const std::string Address = Peer->address();
  tcp::socket Caller(Context);
  Caller.connect(*parseEndpoint(Address));
  std::size_t Sent = 0;
  bool IsClosed = false;
  std::function<void(const std::string &)> Send =
      [&](const std::string &Bytes) {
        asio::async_write(Caller, asio::buffer(Bytes),
                          [&](boost::system::error_code Error, std::size_t N) {
                            Sent += N;
                            IsClosed = static_cast<bool>(Error);
                            if (!Error)
                              Send(Repeated);
                          });
      };
  Send(Start);
  CHECK(runUntil(Context, [&] { return IsClosed; }));
  CHECK(Peer->counters().Connected_ == 0);
}

TEST_CASE("A transport needs a key and a free address", "[peers]") {
  asio::io_context Context;
  const auto Bad = [&](PeerSettings Settings) {
    return errorOf(TcpPeerTransport::make(Context, std::move(Settings)));
  };
  CHECK(Bad({id("a"), "127.0.0.1:0", ""}) == PeerListenError::EmptyKey);
  CHECK(Bad({id("a"), "nowhere", "k"}) == PeerListenError::MalformedAddress);
}

} // namespace
} // namespace gooseberry
