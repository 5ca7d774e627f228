#include "standin_platform/BackendFace.h"

namespace gooseberry {
namespace {

constexpr std::chrono::milliseconds PlainTime(10);
constexpr std::chrono::milliseconds PrefillTime(20);
constexpr std::chrono::milliseconds EventTime(25);

} // namespace

BackendFace::BackendFace(asio::io_context &Context, std::string Id,
                         BackendPart Part, RunLog &Log)
    : Id_(std::move(Id)), Part_(Part), Log_(Log),
      Face_(Context, [this](FaceCall &Call) { return serve(Call); }) {}

std::string BackendFace::fieldOf(const FaceCall &Call, const char *Name) const {
  return std::string(Call.Request_[Name]);
}

void BackendFace::check(const FaceCall &Call) {
  if (Call.Request_.count("Authorization") > 0)
    Log_.Faults_.push_back("a server saw a caller's key");
  if (Call.Request_.count("Pin-Ms") + Call.Request_.count("Kv-Hold") > 0)
    Log_.Faults_.push_back("a server saw a field that callers must not set");
  if (fieldOf(Call, "Request-Id").empty())
    Log_.Faults_.push_back("a server got a request without an id");
}

void BackendFace::noteRun(const FaceCall &Call) {
  SeenRun Run;
  Run.Server_ = Id_;
  Run.Organisation_ = fieldOf(Call, "Tenant");
  Run.At_ = std::chrono::steady_clock::now();
  const std::string Last = fieldOf(Call, "Last-Event-Id");
  Run.LastEvent_ = Last.empty() ? 0 : std::stoull(Last);
  Log_.Runs_[fieldOf(Call, "Request-Id")].push_back(std::move(Run));
}

void BackendFace::addFields(const FaceCall &Call, http::fields &Head) const {
  Head.set("Request-Id", fieldOf(Call, "Request-Id"));
  Head.set("Instance-Id", Id_);
  if (!Limit_.empty())
    Head.set("Server-Limit", Limit_);
  if (IsLeaving_)
    Head.set("Server-Leaving", "1");
}

asio::awaitable<void> BackendFace::reject(FaceCall &Call, unsigned Status) {
  auto Answer = makeReply(Status, "");
  Answer.set("Not-Executed", "1");
  addFields(Call, Answer);
  if (Status == 503 && Pause_.count() != 0)
    Answer.set("Retry-After", std::to_string(Pause_.count() / 1000.0));
  co_await Call.reply(std::move(Answer));
}

asio::awaitable<void> BackendFace::serve(FaceCall &Call) {
  if (Call.Request_.method() == http::verb::delete_) {
    co_await Call.reply(makeReply(200, ""));
    co_return;
  }
  check(Call);
  if (fieldOf(Call, "Expect-Instance") != Id_) {
    co_await reject(Call, 421);
    co_return;
  }
  Log_.Arrivals_.push_back({fieldOf(Call, "Request-Id"), Id_,
                            std::chrono::steady_clock::now(),
                            IsFull_ ? Pause_ : std::chrono::milliseconds(0)});
  if (IsFull_) {
    co_await reject(Call, 503);
    co_return;
  }
  if (Part_ == BackendPart::Plain)
    co_await plain(Call);
  else if (fieldOf(Call, "Stage") == "prefill")
    co_await prefill(Call);
  else if (Part_ == BackendPart::Prefill)
    co_await reject(Call, 421);
  else
    co_await stream(Call);
}

asio::awaitable<void> BackendFace::prefill(FaceCall &Call) {
  co_await sleepFor(PrefillTime);
  const std::string Body = R"({"kv_handle":"h)" + std::to_string(++Handles_) +
                           R"(","tokens":100,"version":1})";
  auto Answer = makeReply(200, Body);
  addFields(Call, Answer);
  co_await Call.reply(std::move(Answer));
}

asio::awaitable<void> BackendFace::plain(FaceCall &Call) {
  noteRun(Call);
  co_await sleepFor(PlainTime);
  if (IsFailing_) {
    Call.IsBroken_ = true;
    co_return;
  }
  auto Answer = makeReply(200, "answer to " + fieldOf(Call, "Request-Id"));
  addFields(Call, Answer);
  Answer.set("Response-Signature", Id_);
  co_await Call.reply(std::move(Answer));
}

asio::awaitable<void> BackendFace::stream(FaceCall &Call) {
  noteRun(Call);
  const std::string Request = fieldOf(Call, "Request-Id");
  const std::string Last = fieldOf(Call, "Last-Event-Id");
  http::response<http::empty_body> Head(http::status::ok, 11);
  addFields(Call, Head);
  Head.set("Response-Signature", Id_);
  Head.set("Content-Type", "text/event-stream");
  Head.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Head);
  auto [HeadError, HeadSize] =
      co_await http::async_write_header(Call.Stream_, Serializer, Awaiting);
  Call.IsBroken_ = static_cast<bool>(HeadError);
  const int First = Last.empty() ? 1 : std::stoi(Last) + 1;
  for (int Event = First; Event <= EventCount && !Call.IsBroken_; ++Event) {
    co_await sleepFor(EventTime);
    const std::string Text = "id: " + std::to_string(Event) +
                             "\ndata: " + Request + " " +
                             std::to_string(Event) + "\n\n";
    // A failing engine stops in the middle of an event.
    const std::string Sent = IsFailing_ ? Text.substr(0, 8) : Text;
    auto [Error, Size] = co_await asio::async_write(
        Call.Stream_, http::make_chunk(asio::buffer(Sent)), Awaiting);
    Call.IsBroken_ = Error || IsFailing_;
  }
  if (!Call.IsBroken_) {
    auto [Error, Size] = co_await asio::async_write(
        Call.Stream_, http::make_chunk_last(), Awaiting);
    Call.IsBroken_ = static_cast<bool>(Error);
  }
}

} // namespace gooseberry
