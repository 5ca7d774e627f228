#include "gooseberrybeam/relayd/InstanceRows.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace gooseberry {
namespace {

namespace json = boost::json;

constexpr std::string_view KeyPrefix = "instance/";

std::optional<std::string> readString(const json::object &Object,
                                      std::string_view Name) {
  const auto *Field = Object.if_contains({Name.data(), Name.size()});
  if (!Field || !Field->is_string())
    return std::nullopt;
  return std::string(Field->get_string().c_str());
}

} // namespace

std::string makeInstanceRowKey(const InstanceId &Name) {
  return std::string(KeyPrefix) + Name.Value_;
}

StoreRow makeInstanceRow(const EpochMember &Member) {
  StoreRow Row;
  Row.Table_ = RelayTable;
  Row.Key_ = makeInstanceRowKey(Member.Id_.Name_);
  Row.Value_ =
      json::serialize(json::object{{"address", Member.PeerAddress_},
                                   {"data_centre", Member.DataCentre_.Value_},
                                   {"incarnation", Member.Id_.Incarnation_}});
  return Row;
}

std::optional<EpochMember> parseInstanceRow(const StoreRow &Row) {
  if (!Row.Key_.starts_with(KeyPrefix))
    return std::nullopt;
  boost::system::error_code Error;
  const json::value Parsed = json::parse(Row.Value_, Error);
  if (Error || !Parsed.is_object())
    return std::nullopt;
  const json::object &Object = Parsed.get_object();
  const auto Address = readString(Object, "address");
  const auto DataCentre = readString(Object, "data_centre");
  const auto *Incarnation = Object.if_contains("incarnation");
  if (!Address || !DataCentre || !Incarnation)
    return std::nullopt;
  const auto IncarnationNumber = Incarnation->to_number<std::uint64_t>(Error);
  if (Error)
    return std::nullopt;
  EpochMember Member;
  Member.Id_ = {{Row.Key_.substr(KeyPrefix.size())}, IncarnationNumber};
  Member.PeerAddress_ = *Address;
  Member.DataCentre_ = {*DataCentre};
  return Member;
}

} // namespace gooseberry
