#include "standin_table/TableHandler.h"

#include "common/JsonFields.h"

namespace gooseberry {
namespace {

namespace json = boost::json;

const json::object EmptyList = {{"instances", json::array()}};

json::array arrayOf(const json::object &Body, std::string_view Name) {
  const auto *Field = Body.if_contains(Name);
  return Field != nullptr && Field->is_array() ? Field->get_array()
                                               : json::array();
}

json::object objectOf(const json::value &Value) {
  return Value.is_object() ? Value.get_object() : json::object();
}

TableQuery parseQuery(const json::object &Body) {
  TableQuery Query;
  for (const auto &Key : arrayOf(Body, "keys")) {
    if (Key.is_string())
      Query.Keys_.emplace_back(Key.get_string());
  }
  for (const auto &Value : arrayOf(Body, "prefixes")) {
    const auto Range = objectOf(Value);
    const auto Limit = numberOr(Range, "limit", TableRange().Limit_);
    Query.Ranges_.push_back({textOf(Range, "prefix"), textOf(Range, "after"),
                             static_cast<std::uint32_t>(Limit)});
  }
  return Query;
}

TableTransaction parseTransaction(const json::object &Body) {
  TableTransaction Transaction;
  for (const auto &Value : arrayOf(Body, "conditions")) {
    const auto Condition = objectOf(Value);
    Transaction.Conditions_.push_back(
        {textOf(Condition, "key"), countOf(Condition, "version")});
  }
  for (const auto &Value : arrayOf(Body, "writes")) {
    const auto Write = objectOf(Value);
    const auto *Text = Write.if_contains("value");
    TableWrite Entry{textOf(Write, "key"), std::nullopt};
    if (Text != nullptr && Text->is_string())
      Entry.Value_ = std::string(Text->get_string());
    Transaction.Writes_.push_back(std::move(Entry));
  }
  return Transaction;
}

json::array renderRows(const std::vector<TableRow> &Rows) {
  json::array Out;
  for (const auto &Row : Rows)
    Out.push_back(json::object{
        {"key", Row.Key_}, {"value", Row.Value_}, {"version", Row.Version_}});
  return Out;
}

json::value renderFound(const TableRows &Found) {
  return json::object{{"rows", renderRows(Found.Rows_)},
                      {"more", Found.HasMore_}};
}

json::value renderOutcome(const TableStore::Outcome &Outcome) {
  if (const auto *Conflict = std::get_if<TableConflict>(&Outcome))
    return json::object{{"committed", false},
                        {"conflicts", renderRows(Conflict->Rows_)}};
  const auto Version = std::get<TableCommitted>(Outcome).Version_;
  return json::object{{"committed", true}, {"version", Version}};
}

} // namespace

asio::awaitable<void> TableHandler::onRequest(Exchange &Call) {
  const auto Path = Call.path();
  if (Path == "/v1/read") {
    co_await read(Call);
  } else if (Path == "/v1/transact") {
    co_await transact(Call);
  } else if (Path == "/v1/instances") {
    ++ListReads_;
    json::value List = visibleList();
    co_await Call.reply(200, std::move(List));
  } else if (Path == "/debug/instances") {
    co_await setInstances(Call);
  } else {
    co_await Call.reply(404, makeError("no_such_call"));
  }
}

asio::awaitable<void> TableHandler::read(Exchange &Call) {
  ++Reads_;
  co_await Call.reply(200, renderFound(Store_.read(parseQuery(Call.body()))));
}

asio::awaitable<void> TableHandler::transact(Exchange &Call) {
  ++Writes_;
  const auto Outcome = Store_.transact(parseTransaction(Call.body()));
  const auto *Conflict = std::get_if<TableConflict>(&Outcome);
  Conflicts_ += Conflict != nullptr ? 1 : 0;
  co_await Call.reply(Conflict != nullptr ? 409 : 200, renderOutcome(Outcome));
}

asio::awaitable<void> TableHandler::setInstances(Exchange &Call) {
  Lists_.push_back({Clock::now(), Call.body()});
  co_await Call.reply(200, json::object());
}

const json::object &TableHandler::visibleList() {
  const auto Limit = Clock::now() - ListLag_;
  while (Lists_.size() > 1 && Lists_[1].At_ <= Limit)
    Lists_.pop_front();
  const bool IsVisible = !Lists_.empty() && Lists_.front().At_ <= Limit;
  return IsVisible ? Lists_.front().List_ : EmptyList;
}

json::object TableHandler::onState() const {
  return {{"reads", Reads_},         {"writes", Writes_},
          {"conflicts", Conflicts_}, {"list_reads", ListReads_},
          {"rows", Store_.size()},   {"version", Store_.version()}};
}

} // namespace gooseberry
