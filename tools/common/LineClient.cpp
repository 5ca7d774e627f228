#include "common/LineClient.h"

#include <array>

namespace gooseberry {
namespace {

constexpr std::size_t ReadSize = 8192;

} // namespace

asio::awaitable<bool> LineClient::connect(Tcp::endpoint Endpoint) {
  const auto [Error] = co_await Stream_.async_connect(Endpoint, Awaiting);
  if (Error)
    co_return false;
  boost::system::error_code Ignored;
  Stream_.socket().set_option(Tcp::no_delay(true), Ignored);
  co_return true;
}

asio::awaitable<unsigned> LineClient::send(Request Outgoing) {
  Text_.clear();
  Parser_.emplace();
  Parser_->body_limit(boost::none);
  const auto [WriteError, Written] =
      co_await http::async_write(Stream_, Outgoing, Awaiting);
  if (WriteError)
    co_return 0;
  const auto [ReadError, Size] =
      co_await http::async_read_header(Stream_, Buffer_, *Parser_, Awaiting);
  if (ReadError)
    co_return 0;
  co_return Parser_->get().result_int();
}

asio::awaitable<bool> LineClient::readMore() {
  if (Parser_->is_done())
    co_return false;
  std::array<char, ReadSize> Room;
  auto &Body = Parser_->get().body();
  Body.data = Room.data();
  Body.size = Room.size();
  auto [Error, Size] =
      co_await http::async_read_some(Stream_, Buffer_, *Parser_, Awaiting);
  if (Error == http::error::need_buffer)
    Error = {};
  if (Error)
    co_return false;
  Text_.append(Room.data(), Room.size() - Body.size);
  co_return true;
}

asio::awaitable<std::optional<std::string>> LineClient::readLine() {
  for (;;) {
    const auto End = Text_.find('\n');
    if (End != std::string::npos) {
      auto Line = Text_.substr(0, End);
      Text_.erase(0, End + 1);
      co_return Line;
    }
    const bool HasMore = co_await readMore();
    if (!HasMore)
      co_return std::nullopt;
  }
}

asio::awaitable<std::string> LineClient::readAll() {
  for (;;) {
    const bool HasMore = co_await readMore();
    if (!HasMore)
      break;
  }
  co_return std::move(Text_);
}

LineClient::Request makeRequest(http::verb Verb, std::string_view Target,
                                std::string_view Host, std::string Body) {
  constexpr unsigned Http11 = 11;
  LineClient::Request Outgoing(Verb, beast::string_view(Target), Http11);
  Outgoing.set(http::field::host, beast::string_view(Host));
  if (!Body.empty()) {
    Outgoing.set(http::field::content_type, "application/json");
    Outgoing.body() = std::move(Body);
  }
  Outgoing.prepare_payload();
  return Outgoing;
}

} // namespace gooseberry
