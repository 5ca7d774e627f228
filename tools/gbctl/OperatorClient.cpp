#include "gbctl/OperatorClient.h"

#include "gooseberrybeam/operator/OperatorApi.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <optional>

namespace gooseberry {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto ConnectTimeout = std::chrono::seconds(2);
// An instance answers a change within its own 8 s and 3 s.
constexpr auto ReplyTimeout = std::chrono::seconds(15);
constexpr std::uint64_t MaxReplyBytes = 256ULL << 20U;

using Outcome = Result<OperatorReply, CallError>;
using Request = http::request<http::string_body>;

std::optional<asio::ip::tcp::endpoint> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Ip =
      asio::ip::make_address(std::string(Text.substr(0, Colon)), Error);
  std::uint16_t Port = 0;
  const std::string_view Digits = Text.substr(Colon + 1);
  const auto Read =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Error || Read.ec != std::errc())
    return std::nullopt;
  return asio::ip::tcp::endpoint(Ip, Port);
}

Outcome makeOutcome(const http::response<http::string_body> &Reply) {
  boost::json::error_code Error;
  boost::json::value Body = boost::json::parse(Reply.body(), Error);
  if (Error)
    return CallError::ReplyLost;
  return OperatorReply{static_cast<int>(Reply.result_int()), std::move(Body)};
}

asio::awaitable<void> exchange(asio::ip::tcp::endpoint To,
                               const Request &Message, Outcome &Result) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(ConnectTimeout);
  auto [ConnectError] = co_await Stream.async_connect(To, AsTuple);
  if (ConnectError)
    co_return;
  Result = CallError::ReplyLost;
  Stream.expires_after(ReplyTimeout);
  auto [WriteError, Written] =
      co_await http::async_write(Stream, Message, AsTuple);
  if (WriteError)
    co_return;
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Reader;
  Reader.body_limit(MaxReplyBytes);
  auto [ReadError, Read] =
      co_await http::async_read(Stream, Buffer, Reader, AsTuple);
  if (!ReadError)
    Result = makeOutcome(Reader.get());
}

} // namespace

Outcome OperatorClient::call(std::string_view Method, std::string_view Target,
                             std::string Body) const {
  Outcome Result = CallError::NotReached;
  const auto Endpoint = parseAddress(Address_);
  if (!Endpoint)
    return Result;
  constexpr unsigned Http11 = 11;
  Request Message;
  Message.version(Http11);
  Message.method_string(Method);
  Message.target(Target);
  Message.set(http::field::host, Address_);
  Message.set(OperatorKeyHeader, Key_);
  Message.keep_alive(false);
  Message.body() = std::move(Body);
  Message.prepare_payload();
  asio::io_context Context;
  asio::co_spawn(Context, exchange(*Endpoint, Message, Result), asio::detached);
  Context.run();
  return Result;
}

} // namespace gooseberry
