#include "standin_platform/StoreFace.h"

#include "gooseberrybeam/base/Base64.h"

#include <boost/json.hpp>

namespace gooseberry {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds FeedStep(20);

std::string writeRows(const std::vector<PlatformRow> &Rows,
                      std::uint64_t Version) {
  json::array List;
  for (const auto &Each : Rows) {
    json::object Row{{"table", Each.Table_},
                     {"part", ""},
                     {"key", Each.Key_},
                     {"ver", Each.Version_}};
    if (Each.IsRemoved_)
      Row["removed"] = true;
    else
      Row["value"] = encodeBase64(Each.Value_);
    List.push_back(std::move(Row));
  }
  return json::serialize(json::object{{"rows", std::move(List)},
                                      {"has_more", false},
                                      {"ver", Version},
                                      {"now_ms", 0}});
}

std::string textOf(const json::value &From, const char *Name) {
  return std::string(From.at(Name).as_string().c_str());
}

} // namespace

StoreFace::StoreFace(asio::io_context &Context)
    : Face_(Context, [this](FaceCall &Call) { return serve(Call); }) {}

asio::awaitable<void> StoreFace::serve(FaceCall &Call) {
  if (IsDown_) {
    co_await reply(Call, 503, "");
    co_return;
  }
  const std::string Target(Call.Request_.target());
  if (Target.starts_with("/gooseberrybeam/rows-get")) {
    co_await reply(Call, 200,
                   writeRows(Rows_.read(Call.query("table")), Rows_.version()));
  } else if (Target.starts_with("/gooseberrybeam/rows-feed")) {
    co_await feed(Call);
  } else if (Target.starts_with("/gooseberrybeam/rows-tx")) {
    unsigned Status = 200;
    std::string Body = transact(Call.Request_.body(), Status);
    co_await reply(Call, Status, std::move(Body));
  } else {
    co_await reply(Call, 404, "");
  }
}

asio::awaitable<void> StoreFace::reply(FaceCall &Call, unsigned Status,
                                       std::string Body) const {
  auto Answer = makeReply(Status, std::move(Body));
  Answer.set("Store-Era", std::to_string(Rows_.era()));
  co_await Call.reply(std::move(Answer));
}

asio::awaitable<void> StoreFace::feed(FaceCall &Call) {
  const std::string Table = Call.query("table");
  const std::uint64_t After = std::stoull(Call.query("after"));
  const std::chrono::milliseconds Wait(std::stoll(Call.query("wait_ms")));
  const auto End = std::chrono::steady_clock::now() + Wait;
  for (;;) {
    const auto Changes = Rows_.changes(Table, After);
    const bool IsOver = std::chrono::steady_clock::now() >= End;
    if (!Changes || IsDown_) {
      co_await reply(Call, IsDown_ ? 503 : 410, "");
      co_return;
    }
    if (!Changes->empty() || IsOver) {
      co_await reply(Call, 200, writeRows(*Changes, Rows_.version()));
      co_return;
    }
    co_await sleepFor(FeedStep);
  }
}

std::string StoreFace::transact(const std::string &Body, unsigned &Status) {
  const json::value From = json::parse(Body);
  for (const auto &Each : From.at("expected_revision").as_array()) {
    const auto Version = Each.at("ver").to_number<std::uint64_t>();
    if (Rows_.versionOf(textOf(Each, "table"), textOf(Each, "key")) == Version)
      continue;
    Status = 412;
    return R"({"rows":[]})";
  }
  for (const auto &Each : From.at("puts").as_array())
    Rows_.put(textOf(Each, "table"), textOf(Each, "key"),
              decodeBase64(textOf(Each, "value")).value_or(""));
  for (const auto &Each : From.at("remove").as_array())
    Rows_.remove(textOf(Each, "table"), textOf(Each, "key"));
  return json::serialize(json::object{{"ver", Rows_.version()}});
}

} // namespace gooseberry
