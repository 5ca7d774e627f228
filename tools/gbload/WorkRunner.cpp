#include "gbload/WorkRunner.h"

#include "gbload/AnswerCheck.h"

#include <boost/json.hpp>

namespace gooseberry {
namespace {

namespace json = boost::json;

constexpr unsigned FirstError = 400;
constexpr std::string_view DataMark = "data: ";

std::string renderBody(const Work &Sent, std::string_view Model) {
  return json::serialize(json::object{{"model", Model},
                                      {"prompt", Sent.Prompt_},
                                      {"max_tokens", Sent.MaxTokens_},
                                      {"stream", Sent.IsStreamed_}});
}

std::string renderWrite(const Work &Sent) {
  return json::serialize(
      json::object{{"slot", Sent.Target_}, {"ref", Sent.IdempotencyKey_}});
}

std::chrono::microseconds
microsBetween(std::chrono::steady_clock::time_point From,
              std::chrono::steady_clock::time_point To) {
  return std::chrono::duration_cast<std::chrono::microseconds>(To - From);
}

} // namespace

LineClient::Request WorkRunner::makeCall(const Work &Sent,
                                         WorkKind Kind) const {
  const auto &Address = Cluster_.Callers_[Sent.Instance_];
  std::string Body;
  if (Kind == WorkKind::Generate)
    Body = renderBody(Sent, Cluster_.Models_.front());
  if (Kind == WorkKind::Write)
    Body = renderWrite(Sent);
  const auto Verb = Kind == WorkKind::Read ? http::verb::get : http::verb::post;
  auto Call = makeRequest(Verb, Sent.Target_, Address, std::move(Body));
  Call.set(http::field::authorization,
           "Bearer " + Cluster_.Keys_[Sent.Organisation_].Key_);
  if (!Sent.IdempotencyKey_.empty())
    Call.set("Idempotency-Key", Sent.IdempotencyKey_);
  return Call;
}

asio::awaitable<Answer> WorkRunner::run(const Work &Sent, WorkKind Kind) {
  Answer Result;
  const auto &Address = Cluster_.Callers_[Sent.Instance_];
  const auto Start = Clock::now();
  auto Client = co_await Pool_.take(Address, Limit_);
  if (!Client) {
    Result.Code_ = "no_connection";
    co_return Result;
  }
  const auto Status = co_await Client->send(makeCall(Sent, Kind));
  Result.First_ = microsBetween(Start, Clock::now());
  if (Status == 0)
    Result.Code_ = "no_reply";
  else if (Status < FirstError && Sent.IsStreamed_)
    co_await readStream(*Client, Sent, Start, Result);
  else
    co_await readAnswer(*Client, Sent, Kind, Status, Result);
  Result.Total_ = microsBetween(Start, Clock::now());
  // A server ends the connection after an error within a stream.
  const bool HasBroken = Sent.IsStreamed_ && Status < FirstError &&
                         Result.End_ != AnswerEnd::Right;
  if (Status != 0 && !HasBroken)
    Pool_.give(Address, std::move(Client));
  co_return Result;
}

asio::awaitable<void> WorkRunner::readAnswer(LineClient &Client,
                                             const Work &Sent, WorkKind Kind,
                                             unsigned Status, Answer &Result) {
  Result.Body_ = co_await Client.readAll();
  if (!Client.isComplete()) {
    Result.Code_ = "cut_short";
    co_return;
  }
  if (Status >= FirstError)
    readRefusal(Result.Body_, Status, Result);
  else if (Kind == WorkKind::Generate)
    checkCompletion(Sent, Result.Body_, Result);
  else
    Result.End_ = AnswerEnd::Right;
}

asio::awaitable<void> WorkRunner::readStream(LineClient &Client,
                                             const Work &Sent,
                                             Clock::time_point Start,
                                             Answer &Result) {
  std::string Text;
  std::string FinishReason;
  bool IsDone = false;
  bool HasToken = false;
  auto Last = Start;
  for (;;) {
    const auto Line = co_await Client.readLine();
    if (!Line)
      break;
    if (!Line->starts_with(DataMark))
      continue;
    const auto Data = std::string_view(*Line).substr(DataMark.size());
    if (Data.starts_with("[DONE]")) {
      IsDone = true;
      continue;
    }
    const auto Event = parseStreamEvent(Data);
    if (!Event.ErrorCode_.empty()) {
      readRefusal(Data, 0, Result);
      Result.Code_ = "in_stream_" + Result.Code_;
    }
    if (!Event.FinishReason_.empty())
      FinishReason = Event.FinishReason_;
    if (Event.Text_.empty())
      continue;
    Text += Event.Text_;
    const auto Now = Clock::now();
    if (HasToken)
      Result.Gaps_.push_back(microsBetween(Last, Now));
    else
      Result.First_ = microsBetween(Start, Now);
    HasToken = true;
    Last = Now;
  }
  if (Result.End_ == AnswerEnd::Refused)
    co_return;
  if (IsDone && Client.isComplete())
    checkText(Sent, Text, FinishReason, Result);
  else
    Result.Code_ = "cut_short";
}

} // namespace gooseberry
