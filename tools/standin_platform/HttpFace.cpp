#include "standin_platform/HttpFace.h"

namespace gooseberry {

std::string FaceCall::query(std::string_view Name) const {
  const std::string Target(Request_.target());
  const std::string Mark = std::string(Name) + "=";
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    ++At;
    const std::size_t End = Target.find('&', At);
    if (Target.compare(At, Mark.size(), Mark) == 0)
      return Target.substr(At + Mark.size(), End == std::string::npos
                                                 ? End
                                                 : End - At - Mark.size());
    At = End;
  }
  return {};
}

asio::awaitable<void>
FaceCall::reply(http::response<http::string_body> Answer) {
  Answer.version(Request_.version());
  Answer.keep_alive(Request_.keep_alive());
  Answer.prepare_payload();
  auto [Error, Written] = co_await http::async_write(Stream_, Answer, Awaiting);
  IsBroken_ = IsBroken_ || Error;
}

http::response<http::string_body> makeReply(unsigned Status, std::string Body) {
  http::response<http::string_body> Answer;
  Answer.result(Status);
  Answer.body() = std::move(Body);
  return Answer;
}

HttpFace::HttpFace(asio::io_context &Context, Handler Serve)
    : Context_(Context),
      Acceptor_(Context, {asio::ip::address_v4::loopback(), 0}),
      Serve_(std::move(Serve)) {}

void HttpFace::start() { asio::co_spawn(Context_, accept(), asio::detached); }

std::string HttpFace::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
}

asio::awaitable<void> HttpFace::accept() {
  for (;;) {
    auto [Error, Socket] = co_await Acceptor_.async_accept(Awaiting);
    if (!Error)
      asio::co_spawn(Context_, serve(std::move(Socket)), asio::detached);
  }
}

asio::awaitable<void> HttpFace::serve(Tcp::socket Socket) {
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer;
  for (;;) {
    FaceCall Call{{}, Stream};
    auto [Error, Read] =
        co_await http::async_read(Stream, Buffer, Call.Request_, Awaiting);
    if (Error)
      co_return;
    co_await Serve_(Call);
    if (Call.IsBroken_ || !Call.Request_.keep_alive())
      co_return;
  }
}

} // namespace gooseberry
