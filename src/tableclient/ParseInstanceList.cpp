#include "tableclient/ParseInstanceList.h"

#include "gooseberrybeam/http/Endpoint.h"
#include "http/JsonReader.h"

namespace gooseberry {
namespace {

std::optional<ListedKind> parseKind(std::string_view Text) {
  if (Text == "engine")
    return ListedKind::Engine;
  if (Text == "service")
    return ListedKind::Service;
  if (Text == "entry")
    return ListedKind::Entry;
  return std::nullopt;
}

std::optional<ListedState> parseState(std::string_view Text) {
  if (Text == "live")
    return ListedState::Live;
  if (Text == "leaving")
    return ListedState::Leaving;
  return std::nullopt;
}

std::optional<ListedInstance> parseEntry(const boost::json::value &Value) {
  JsonReader Reader(Value);
  ListedInstance Entry;
  Entry.Name_ = Reader.text("name");
  Entry.Address_ = Reader.text("address");
  Entry.DataCentre_.Value_ = Reader.text("data_centre");
  const auto Kind = parseKind(Reader.text("kind"));
  const auto State = parseState(Reader.text("state"));
  if (!Reader.isOk() || !Kind || !State)
    return std::nullopt;
  if (Kind != ListedKind::Entry && !isServerAddress(Entry.Address_))
    return std::nullopt;
  Entry.Kind_ = *Kind;
  Entry.State_ = *State;
  if (Reader.has("service"))
    Entry.Service_ = Reader.text("service");
  if (!Reader.isOk())
    return std::nullopt;
  return Entry;
}

} // namespace

std::optional<InstanceList> parseInstanceList(std::string_view Text) {
  JsonReader Reader(Text);
  InstanceList List;
  for (const auto &Value : Reader.list("instances")) {
    if (auto Entry = parseEntry(Value))
      List.Entries_.push_back(std::move(*Entry));
    else
      ++List.OddEntries_;
  }
  const bool AreAllOdd = List.OddEntries_ != 0 && List.Entries_.empty();
  if (!Reader.isOk() || AreAllOdd)
    return std::nullopt;
  return List;
}

} // namespace gooseberry
