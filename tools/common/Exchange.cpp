#include "common/Exchange.h"

#include "common/JsonFields.h"

namespace gooseberry {

std::string_view Exchange::path() const {
  const std::string_view Target(Request_.target().data(),
                                Request_.target().size());
  return Target.substr(0, Target.find('?'));
}

std::string Exchange::query(std::string_view Name) const {
  const std::string_view Target(Request_.target().data(),
                                Request_.target().size());
  const auto Mark = Target.find('?');
  if (Mark == std::string_view::npos)
    return {};
  auto Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const auto Pair = Rest.substr(0, Rest.find('&'));
    if (Pair.starts_with(Name) && Pair.substr(Name.size()).starts_with('='))
      return std::string(Pair.substr(Name.size() + 1));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
  }
  return {};
}

boost::json::object Exchange::body() const {
  return parseObject(Request_.body());
}

bool Exchange::mayReply() {
  if (LoseReply_() || Link_.IsSilent_)
    IsBroken_ = true;
  return !IsBroken_;
}

asio::awaitable<void> Exchange::reply(unsigned Status,
                                      boost::json::value Body) {
  if (!mayReply())
    co_return;
  http::response<http::string_body> Reply(static_cast<http::status>(Status),
                                          Request_.version());
  Reply.set(http::field::content_type, "application/json");
  Reply.keep_alive(Request_.keep_alive());
  Reply.body() = boost::json::serialize(Body);
  Reply.prepare_payload();
  const auto [Error, Size] =
      co_await http::async_write(Link_.Stream_, Reply, Awaiting);
  IsBroken_ = static_cast<bool>(Error);
}

asio::awaitable<void> Exchange::startStream(std::string ContentType) {
  if (!mayReply())
    co_return;
  http::response<http::empty_body> Head(http::status::ok, Request_.version());
  Head.set(http::field::content_type, ContentType);
  Head.keep_alive(Request_.keep_alive());
  Head.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Head);
  const auto [Error, Size] =
      co_await http::async_write_header(Link_.Stream_, Serializer, Awaiting);
  IsBroken_ = static_cast<bool>(Error);
}

asio::awaitable<void> Exchange::write(std::string Part) {
  if (IsBroken_ || Link_.IsSilent_)
    co_return;
  const auto Chunk = http::make_chunk(asio::buffer(Part));
  const auto [Error, Size] =
      co_await asio::async_write(Link_.Stream_, Chunk, Awaiting);
  IsBroken_ = static_cast<bool>(Error);
}

asio::awaitable<void> Exchange::endStream() {
  if (IsBroken_ || Link_.IsSilent_)
    co_return;
  const auto Last = http::make_chunk_last();
  const auto [Error, Size] =
      co_await asio::async_write(Link_.Stream_, Last, Awaiting);
  IsBroken_ = static_cast<bool>(Error);
}

void Exchange::breakOff() {
  IsBroken_ = true;
  if (!Link_.IsSilent_)
    Link_.Stream_.close();
}

} // namespace gooseberry
