#include "gooseberrybeam/tableclient/HttpTableClient.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "tableclient/ParseInstanceList.h"
#include "tableclient/TableJson.h"

namespace gooseberry {
namespace {

using Reply = Result<HttpReply, CallError>;

constexpr int Ok = 200;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;

TransactOutcome readTransact(const Reply &Answer) {
  if (!isOk(Answer)) {
    if (errorOf(Answer).MayHaveStarted_)
      return TableUnknown();
    return TableUnavailable();
  }
  const HttpReply &Value = valueOf(Answer);
  if (Value.Head_.Status_ == Unavailable)
    return TableUnavailable();
  if (Value.Head_.Status_ == Ok)
    if (const auto Committed = parseCommitted(Value.Body_))
      return *Committed;
  if (Value.Head_.Status_ == Conflict)
    if (auto Conflicts = parseConflict(Value.Body_))
      return std::move(*Conflicts);
  return TableUnknown();
}

ReadOutcome readRows(const Reply &Answer) {
  if (!isOk(Answer) || valueOf(Answer).Head_.Status_ != Ok)
    return TableUnavailable();
  if (auto Rows = parseRows(valueOf(Answer).Body_))
    return std::move(*Rows);
  return TableUnavailable();
}

std::optional<InstanceList> readList(const Reply &Answer) {
  if (!isOk(Answer) || valueOf(Answer).Head_.Status_ != Ok)
    return std::nullopt;
  return parseInstanceList(valueOf(Answer).Body_);
}

template <typename T>
Task<void> callAndHandle(ConnectionPool &Pool, BackendId Server,
                         HttpRequest Request, CallLimits Limits,
                         T (*Convert)(const Reply &),
                         std::function<void(T)> Handler) {
  CancelScope Scope;
  Reply Answer = CallError{CallFailure::Internal, true};
  T Outcome = Convert(Answer);
  // The caller waits for the handler.
  try {
    Answer = co_await callHttp(Pool, Server, Request, Limits, Scope);
    Outcome = Convert(Answer);
  } catch (...) {
    logException("table call", std::current_exception());
  }
  Handler(std::move(Outcome));
}

} // namespace

HttpTableClient::HttpTableClient(asio::io_context &Context,
                                 ConnectionPool &Pool, BackendId Server,
                                 CallLimits Limits)
    : Context_(Context), Pool_(Pool), Server_(std::move(Server)),
      Limits_(Limits) {}

void HttpTableClient::onTransact(TableTransaction Transaction,
                                 TransactHandler Handler) {
  HttpRequest Request = makeJsonRequest(beast::http::verb::post, "/v1/transact",
                                        writeTransaction(Transaction));
  spawnTask(Context_, "table call",
            callAndHandle<TransactOutcome>(Pool_, Server_, std::move(Request),
                                           Limits_, &readTransact,
                                           std::move(Handler)));
}

void HttpTableClient::onRead(TableQuery Query, ReadHandler Handler) {
  HttpRequest Request =
      makeJsonRequest(beast::http::verb::post, "/v1/read", writeQuery(Query));
  spawnTask(Context_, "table call",
            callAndHandle<ReadOutcome>(Pool_, Server_, std::move(Request),
                                       Limits_, &readRows, std::move(Handler)));
}

void HttpTableClient::readInstances(ListHandler Handler) {
  HttpRequest Request =
      makeJsonRequest(beast::http::verb::get, "/v1/instances", {});
  spawnTask(Context_, "table call",
            callAndHandle<std::optional<InstanceList>>(
                Pool_, Server_, std::move(Request), Limits_, &readList,
                std::move(Handler)));
}

} // namespace gooseberry
