#include "gooseberrybeam/relayd/StreamOriginRows.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

namespace gooseberry {
namespace {

namespace json = boost::json;

/// Homes write to one of so many rows at a time.
constexpr std::uint64_t Writers = 8;
/// One turn of rows lasts longer than the lifetime of a stream's origin.
constexpr auto RowsPerTurn =
    StreamOriginLedger::Lifetime / StreamSaveInterval + 1;

json::object parseObject(const std::string &Text) {
  boost::system::error_code Error;
  // Streams are named by callers, in any bytes.
  json::parse_options Options;
  Options.allow_invalid_utf8 = true;
  json::value Parsed = json::parse(Text, Error, {}, Options);
  if (Error || !Parsed.is_object())
    return {};
  return std::move(Parsed.get_object());
}

json::value &member(json::object &Object, const std::string &Name,
                    const json::value &Initial) {
  return Object.emplace(Name, Initial).first->value();
}

void parseStreams(const ServiceId &Service, const SoftwareVersionId &Software,
                  const json::value &Streams,
                  std::vector<StreamOrigin> &Origins) {
  if (!Streams.is_array())
    return;
  for (const json::value &Each : Streams.get_array())
    if (Each.is_string())
      Origins.push_back({{std::string(Each.get_string())}, Service, Software});
}

} // namespace

std::string makeStreamRowKey(const InstanceId &Home, Duration UnixTime) {
  const auto Turn = (UnixTime / StreamSaveInterval) % RowsPerTurn;
  const std::uint64_t Writer =
      XXH3_64bits(Home.Value_.data(), Home.Value_.size()) % Writers;
  return std::to_string(Writer) + "/" + std::to_string(Turn);
}

StoreRow makeStreamRow(std::string Key, std::span<const StreamOrigin> Origins) {
  json::object Services;
  for (const StreamOrigin &Each : Origins) {
    json::object &Versions =
        member(Services, Each.Service_.Value_, json::object()).as_object();
    member(Versions, Each.Software_.Value_, json::array())
        .as_array()
        .emplace_back(Each.Stream_.Value_);
  }
  StoreRow Row;
  Row.Table_ = StreamTable;
  Row.Key_ = std::move(Key);
  Row.Value_ = json::serialize(Services);
  return Row;
}

std::vector<StreamOrigin> parseStreamRow(const StoreRow &Row) {
  std::vector<StreamOrigin> Origins;
  const json::object Services = parseObject(Row.Value_);
  for (const auto &Service : Services) {
    if (!Service.value().is_object())
      continue;
    for (const auto &Version : Service.value().get_object())
      parseStreams({std::string(Service.key())}, {std::string(Version.key())},
                   Version.value(), Origins);
  }
  return Origins;
}

} // namespace gooseberry
