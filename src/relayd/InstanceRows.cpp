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

// An instance of an earlier release does not state its capacity.
InstanceCapacity readCapacity(const json::object &Object) {
  InstanceCapacity Capacity;
  boost::system::error_code Error;
  if (const auto *Cores = Object.if_contains("cores"))
    Capacity.Cores_ = Cores->to_number<double>(Error);
  if (const auto *LinkMbps = Object.if_contains("link_mbps"))
    Capacity.LinkMbps_ = LinkMbps->to_number<double>(Error);
  return Error ? InstanceCapacity() : Capacity;
}

} // namespace

std::string makeInstanceRowKey(const InstanceId &Name) {
  return std::string(KeyPrefix) + Name.Value_;
}

StoreRow makeInstanceRow(const RelayMember &Member) {
  const EpochMember &Peer = Member.Peer_;
  StoreRow Row;
  Row.Table_ = RelayTable;
  Row.Key_ = makeInstanceRowKey(Peer.Id_.Name_);
  Row.Value_ =
      json::serialize(json::object{{"address", Peer.PeerAddress_},
                                   {"data_centre", Peer.DataCentre_.Value_},
                                   {"incarnation", Peer.Id_.Incarnation_},
                                   {"cores", Member.Capacity_.Cores_},
                                   {"link_mbps", Member.Capacity_.LinkMbps_},
                                   {"callers", Member.CallerAddress_.Value_}});
  return Row;
}

std::optional<RelayMember> parseInstanceRow(const StoreRow &Row) {
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
  RelayMember Member;
  Member.Peer_.Id_ = {{Row.Key_.substr(KeyPrefix.size())}, IncarnationNumber};
  Member.Peer_.PeerAddress_ = *Address;
  Member.Peer_.DataCentre_ = {*DataCentre};
  Member.Capacity_ = readCapacity(Object);
  // An instance of an earlier release does not state it.
  Member.CallerAddress_ = {readString(Object, "callers").value_or("")};
  return Member;
}

} // namespace gooseberry
