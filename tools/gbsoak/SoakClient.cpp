#include "gbsoak/SoakClient.h"

#include "standin_platform/PlatformTexts.h"

namespace gooseberry {
namespace {

constexpr std::chrono::milliseconds ConnectTimeout(1000);
constexpr std::chrono::milliseconds AnswerTimeout(6000);
constexpr const char *DeadlineMs = "5000";

std::string expectedStream(const std::string &Request) {
  std::string Text;
  for (int Event = 1; Event <= BackendFace::EventCount; ++Event)
    Text += "id: " + std::to_string(Event) + "\ndata: " + Request + " " +
            std::to_string(Event) + "\n\n";
  return Text;
}

CallerOrder makeOrder(const std::string &Id, SoakKind Kind,
                      const std::string &Key, int ConfigurationVersion) {
  const std::string Paths[] = {"/check/1", "/book/1", "/stream/1",
                               "/" + newestRoute(ConfigurationVersion) + "/1"};
  const bool IsCheck = Kind == SoakKind::Check || Kind == SoakKind::Newest;
  CallerOrder Order;
  Order.Verb_ = IsCheck ? http::verb::get : http::verb::post;
  Order.Path_ = Paths[static_cast<int>(Kind)];
  Order.Id_ = Id;
  Order.Key_ = Key;
  Order.DeadlineMs_ = DeadlineMs;
  if (Kind == SoakKind::Stream)
    Order.Tokens_ = "100,200";
  if (!IsCheck)
    Order.Body_ = "{}";
  return Order;
}

} // namespace

SoakClient::SoakClient(asio::io_context &Context, std::string Name,
                       SoakRecord &Record)
    : Context_(Context), Name_(std::move(Name)), Record_(Record) {}

asio::awaitable<bool> SoakClient::connect(const std::string &Server) {
  if (Stream_ && Server_ == Server)
    co_return true;
  Buffer_.clear();
  Server_ = Server;
  Stream_.emplace(Context_);
  Stream_->expires_after(ConnectTimeout);
  auto [Error] =
      co_await Stream_->async_connect(*parseEndpoint(Server), Awaiting);
  if (Error)
    Stream_.reset();
  co_return !Error;
}

asio::awaitable<unsigned> SoakClient::send(std::string Server, SoakKind Kind,
                                           std::string Key) {
  const std::string Id = Name_ + "-" + std::to_string(++Sent_);
  const bool IsOpen = co_await connect(Server);
  if (!IsOpen)
    co_return 0;
  SoakRecord::Answer &Told = Record_.Answers_[Id];
  Told.Kind_ = Kind;
  Told.Relay_ = Server;
  Told.SentAt_ = std::chrono::steady_clock::now();
  const auto Request = makeCallerRequest(
      makeOrder(Id, Kind, Key, Record_.ConfigurationVersion_));
  Stream_->expires_after(AnswerTimeout);
  auto [SendError, Sent] =
      co_await http::async_write(*Stream_, Request, Awaiting);
  http::response<http::string_body> Answer;
  beast::error_code Error = SendError;
  if (!Error) {
    auto [ReadError, Read] =
        co_await http::async_read(*Stream_, Buffer_, Answer, Awaiting);
    Error = ReadError;
  }
  if (Error) {
    Stream_.reset();
    co_return 0;
  }
  Told.Status_ = Answer.result_int();
  Told.IsWhole_ = true;
  if (Answer["Server-Leaving"] == "1")
    Record_.Leaving_.onAnswer(Server, std::string(Answer["Instance-Id"]),
                              std::chrono::steady_clock::now());
  if (Told.Status_ == 200)
    checkBody(Id, Kind, Answer.body());
  if (!Answer.keep_alive())
    Stream_.reset();
  co_return Told.Status_;
}

void SoakClient::checkBody(const std::string &Request, SoakKind Kind,
                           const std::string &Body) {
  const std::string Expected = Kind == SoakKind::Stream
                                   ? expectedStream(Request)
                                   : "answer to " + Request;
  if (Body == Expected)
    ++Record_.Served_;
  else
    Record_.Faults_.push_back("the answer to " + Request +
                              " is not its own: " + Body.substr(0, 80));
}

} // namespace gooseberry
