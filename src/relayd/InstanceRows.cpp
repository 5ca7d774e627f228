#include "gooseberrybeam/relayd/InstanceRows.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace gooseberry {
namespace {

namespace json = boost::json;

constexpr std::string_view KeyPrefix = "instance/";

std::optional<std::string> readText(const json::object &From,
                                    std::string_view Name) {
  const auto *Found = From.if_contains({Name.data(), Name.size()});
  if (!Found || !Found->is_string())
    return std::nullopt;
  return std::string(Found->get_string().c_str());
}

} // namespace

std::string instanceRowKey(const InstanceId &Name) {
  return std::string(KeyPrefix) + Name.Value_;
}

StoreRow makeInstanceRow(const EpochMember &Member) {
  StoreRow Row;
  Row.Table_ = OwnTable;
  Row.Key_ = instanceRowKey(Member.Id_.Name_);
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
  const json::object &From = Parsed.get_object();
  const auto Address = readText(From, "address");
  const auto DataCentre = readText(From, "data_centre");
  const auto *Incarnation = From.if_contains("incarnation");
  if (!Address || !DataCentre || !Incarnation)
    return std::nullopt;
  const auto Number = Incarnation->to_number<std::uint64_t>(Error);
  if (Error)
    return std::nullopt;
  EpochMember Member;
  Member.Id_ = {{Row.Key_.substr(KeyPrefix.size())}, Number};
  Member.PeerAddress_ = *Address;
  Member.DataCentre_ = {*DataCentre};
  return Member;
}

} // namespace gooseberry
