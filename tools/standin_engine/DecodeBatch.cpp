#include "standin_engine/DecodeBatch.h"

#include "common/Tokens.h"

#include <boost/json.hpp>

#include <algorithm>

namespace gooseberry {
namespace {

namespace json = boost::json;

std::string renderToken(std::uint64_t Index, std::string_view Text) {
  return json::serialize(
      json::object{{"event", "token"}, {"index", Index}, {"text", Text}});
}

std::string renderDone(std::string_view Reason, std::uint64_t Tokens) {
  return json::serialize(json::object{{"event", "done"},
                                      {"finish_reason", Reason},
                                      {"completion_tokens", Tokens}});
}

} // namespace

void Sequence::push(std::string Line) {
  Lines_.push_back(std::move(Line));
  Wake_.cancel();
}

void Sequence::fail(std::string_view Code) {
  IsDone_ = true;
  push(json::serialize(json::object{{"event", "error"}, {"error", Code}}));
}

void DecodeBatch::add(std::shared_ptr<Sequence> Entry) {
  Sequences_.push_back(std::move(Entry));
  if (IsRunning_)
    return;
  IsRunning_ = true;
  asio::co_spawn(Context_, run(), asio::detached);
}

void DecodeBatch::cancel(std::string_view Request) {
  std::erase_if(Sequences_, [&](const auto &Entry) {
    if (Entry->Request_ != Request)
      return false;
    Entry->fail("cancelled");
    return true;
  });
}

bool DecodeBatch::contains(std::string_view Request) const {
  return std::ranges::any_of(Sequences_, [&](const auto &Entry) {
    return Entry->Request_ == Request;
  });
}

std::chrono::microseconds DecodeBatch::stepTime() const {
  const auto Time =
      Speed_.Step_ + Speed_.StepPerRequest_ * std::ssize(Sequences_);
  const auto Slowed = static_cast<double>(Time.count()) * Speed_.Slowdown_;
  return std::chrono::microseconds(static_cast<std::int64_t>(Slowed));
}

asio::awaitable<void> DecodeBatch::run() {
  asio::steady_timer Timer(Context_);
  auto StepEnd = std::chrono::steady_clock::now();
  while (!Sequences_.empty()) {
    StepEnd = std::max(StepEnd + stepTime(), std::chrono::steady_clock::now());
    Timer.expires_at(StepEnd);
    co_await Timer.async_wait(Awaiting);
    step();
  }
  IsRunning_ = false;
}

void DecodeBatch::step() {
  for (const auto &Entry : Sequences_)
    generate(*Entry);
  std::erase_if(Sequences_, [this](const auto &Entry) {
    if (Entry->IsDone_)
      Done_(*Entry);
    return Entry->IsDone_;
  });
}

void DecodeBatch::generate(Sequence &Entry) {
  const auto Natural = naturalLength(Entry.Prompt_);
  if (Entry.Next_ < Entry.End_ && Entry.Next_ < Natural) {
    const auto Index = Entry.Next_++;
    ++Tokens_;
    Entry.push(renderToken(Index, makeTokenText(Entry.Prompt_, Index)));
  }
  if (Entry.Next_ < Entry.End_ && Entry.Next_ < Natural)
    return;
  Entry.IsDone_ = true;
  const auto *Reason = Entry.Next_ >= Natural ? "stop" : "length";
  Entry.push(renderDone(Reason, Entry.Next_ - Entry.First_));
}

} // namespace gooseberry
