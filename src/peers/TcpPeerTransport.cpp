#include "gooseberrybeam/peers/TcpPeerTransport.h"

#include "gooseberrybeam/http/OpenAcceptor.h"
#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"
#include "peers/MessageFramer.h"
#include "peers/PeerSession.h"

#include <boost/asio/steady_timer.hpp>

#include <charconv>
#include <map>
#include <set>

namespace gooseberry {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration TickInterval = std::chrono::milliseconds(250);
constexpr Duration RedialInterval = std::chrono::milliseconds(500);
constexpr Duration DialTimeout = std::chrono::seconds(2);
/// Messages that wait for a connection.
constexpr std::size_t MaxWaitingMessages = 256;

std::optional<tcp::endpoint> parseEndpoint(std::string_view Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Ip =
      asio::ip::make_address(std::string(Address.substr(0, Colon)), Error);
  std::uint16_t Port = 0;
  const std::string_view Digits = Address.substr(Colon + 1);
  const auto Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Error || Parsed.ec != std::errc() ||
      Parsed.ptr != Digits.data() + Digits.size())
    return std::nullopt;
  return tcp::endpoint(Ip, Port);
}

} // namespace

class TcpPeerTransport::Impl : public PeerSessionEvents,
                               public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, PeerSettings Settings)
      : Context_(Context), Acceptor_(Context), Timer_(Context),
        Settings_(std::move(Settings)) {}

  bool listen(const tcp::endpoint &At) { return !openAcceptor(Acceptor_, At); }

  void start() {
    accept();
    scheduleTick();
  }

  void stop() {
    Owner_ = nullptr;
    boost::system::error_code Ignored;
    Acceptor_.close(Ignored);
    Timer_.cancel();
    closeAll();
  }

  void closeAll() {
    const std::set<std::shared_ptr<PeerSession>> Open = Open_;
    for (const auto &Session : Open)
      Session->close();
    Links_.clear();
  }

  void setMembers(std::span<const EpochMember> Members) {
    Addresses_.clear();
    for (const EpochMember &Each : Members)
      if (Each.Id_ != Settings_.Self_)
        Addresses_[Each.Id_] = Each.PeerAddress_;
    std::erase_if(Links_, [&](const auto &Entry) {
      return Entry.second.Session_ == nullptr &&
             !Addresses_.contains(Entry.first);
    });
  }

  void send(const MemberId &Recipient, const PeerMessage &Message) {
    const std::string Encoded = encodePeerMessage(Message);
    if (Encoded.size() > MaxPeerMessage) {
      logOversized(Recipient, Encoded.size());
      countSent(false);
      return;
    }
    Link &PeerLink = Links_[Recipient];
    std::string Framed = frameMessage(Encoded);
    if (PeerLink.Session_ != nullptr) {
      countSent(PeerLink.Session_->send(Framed));
      return;
    }
    if (PeerLink.Waiting_.size() >= MaxWaitingMessages) {
      countSent(false);
      return;
    }
    PeerLink.Waiting_.push_back(std::move(Framed));
    dial(Recipient, PeerLink);
  }

  std::string address() const {
    boost::system::error_code Ignored;
    const tcp::endpoint At = Acceptor_.local_endpoint(Ignored);
    return At.address().to_string() + ":" + std::to_string(At.port());
  }

  void setSelf(MemberId Self) {
    Settings_.Self_ = std::move(Self);
    closeAll();
  }

  void onAuthenticated(PeerSession &Session) override {
    Link &Of = Links_[Session.peer()];
    Of.Session_ = Session.shared_from_this();
    Of.IsDialing_ = false;
    std::vector<std::string> Waiting;
    Waiting.swap(Of.Waiting_);
    for (const std::string &Framed : Waiting)
      countSent(Session.send(Framed));
  }

  void onMessage(PeerSession &Session, std::string_view Bytes) override {
    // nghttp2 calls this, so no exception may leave it.
    runGuarded("peer message", [&] {
      std::optional<PeerMessage> Message = parsePeerMessage(Bytes);
      if (Message && Owner_ != nullptr)
        Owner_->deliver(Session.peer(), *std::move(Message));
    });
  }

  void onClosed(PeerSession &Session) override {
    const auto Entry = Links_.find(Session.peer());
    if (Entry != Links_.end()) {
      if (Entry->second.Session_.get() == &Session)
        Entry->second.Session_ = nullptr;
      Entry->second.IsDialing_ = false;
    }
    Open_.erase(Session.shared_from_this());
  }

  TcpPeerTransport *Owner_ = nullptr;

private:
  struct Link {
    std::shared_ptr<PeerSession> Session_;
    std::vector<std::string> Waiting_;
    bool IsDialing_ = false;
    TimePoint DialedAt_;
  };

  PeerSession::Context sessionContext() {
    return {Settings_.Self_, Settings_.Key_, this, &Owner_->Counters_};
  }

  static void logOversized(const MemberId &Recipient, std::size_t Bytes) {
    logLine(LogPart::Peers, LogLevel::Warn,
            "Message is too large for a peer; dropped.",
            {{"to", Recipient.Name_.Value_}, {"bytes", std::to_string(Bytes)}});
  }

  void countSent(bool IsSent) {
    if (IsSent)
      ++Owner_->Counters_.MessagesSent_;
    else
      ++Owner_->Counters_.MessagesDropped_;
  }

  void accept() {
    Acceptor_.async_accept(
        [Self = shared_from_this()](boost::system::error_code Error,
                                    tcp::socket Socket) {
          if (Self->Owner_ == nullptr)
            return;
          if (!Error)
            Self->open(std::move(Socket), PeerRole::Server, {});
          Self->accept();
        });
  }

  void open(tcp::socket Socket, PeerRole Role, const MemberId &Expected) {
    auto Session = std::make_shared<PeerSession>(
        std::move(Socket), sessionContext(), Role, Expected);
    Open_.insert(Session);
    Session->start();
  }

  void dial(const MemberId &To, Link &Of) {
    const TimePoint Now = readBootClock();
    const auto Address = Addresses_.find(To);
    const bool IsTooSoon = Now - Of.DialedAt_ < RedialInterval;
    if (Of.IsDialing_ || IsTooSoon || Address == Addresses_.end())
      return;
    const std::optional<tcp::endpoint> At = parseEndpoint(Address->second);
    if (!At)
      return;
    Of.IsDialing_ = true;
    Of.DialedAt_ = Now;
    auto Socket = std::make_shared<tcp::socket>(Context_);
    Socket->async_connect(*At, [Self = shared_from_this(), Socket,
                                To](boost::system::error_code Error) {
      if (Self->Owner_ == nullptr)
        return;
      if (Error)
        Self->Links_[To].IsDialing_ = false;
      else
        Self->open(std::move(*Socket), PeerRole::Client, To);
    });
  }

  void scheduleTick() {
    Timer_.expires_after(TickInterval);
    Timer_.async_wait(
        [Self = shared_from_this()](boost::system::error_code /*Error*/) {
          if (Self->Owner_ == nullptr)
            return;
          Self->tick();
          Self->scheduleTick();
        });
  }

  void tick() {
    const TimePoint Now = readBootClock();
    const std::set<std::shared_ptr<PeerSession>> Open = Open_;
    for (const auto &Session : Open)
      Session->tick(Now);
    for (auto &[To, Of] : Links_) {
      if (Of.IsDialing_ && Now - Of.DialedAt_ > DialTimeout)
        Of.IsDialing_ = false;
      if (Of.Session_ == nullptr && !Of.Waiting_.empty())
        dial(To, Of);
    }
  }

  asio::io_context &Context_;
  tcp::acceptor Acceptor_;
  asio::steady_timer Timer_;
  PeerSettings Settings_;
  std::map<MemberId, std::string> Addresses_;
  std::map<MemberId, Link> Links_;
  std::set<std::shared_ptr<PeerSession>> Open_;
};

TcpPeerTransport::TcpPeerTransport(std::shared_ptr<Impl> State)
    : Impl_(std::move(State)) {
  Impl_->Owner_ = this;
  Impl_->start();
}

TcpPeerTransport::~TcpPeerTransport() { Impl_->stop(); }

Result<std::unique_ptr<TcpPeerTransport>, PeerListenError>
TcpPeerTransport::make(asio::io_context &Context, PeerSettings Settings) {
  if (Settings.Key_.empty())
    return PeerListenError::EmptyKey;
  const std::optional<tcp::endpoint> At = parseEndpoint(Settings.Listen_);
  if (!At)
    return PeerListenError::MalformedAddress;
  auto State = std::make_shared<Impl>(Context, std::move(Settings));
  if (!State->listen(*At))
    return PeerListenError::AddressUnavailable;
  return std::unique_ptr<TcpPeerTransport>(
      new TcpPeerTransport(std::move(State)));
}

std::string TcpPeerTransport::address() const { return Impl_->address(); }

void TcpPeerTransport::setSelf(MemberId Self) {
  Impl_->setSelf(std::move(Self));
}

void TcpPeerTransport::onMembers(std::span<const EpochMember> Members) {
  Impl_->setMembers(Members);
}

void TcpPeerTransport::onSend(const MemberId &To, const PeerMessage &Message) {
  Impl_->send(To, Message);
}

} // namespace gooseberry
