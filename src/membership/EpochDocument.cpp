#include "gooseberrybeam/membership/EpochDocument.h"

#include <boost/json.hpp>

#include <algorithm>

namespace gooseberry {

namespace {

namespace json = boost::json;

constexpr std::size_t MaxShards = 65536;

json::object writeId(const MemberId &Id) {
  return {{"name", Id.Name_.Value_}, {"incarnation", Id.Incarnation_}};
}

json::object writeMember(const EpochMember &Member) {
  json::object Object = writeId(Member.Id_);
  Object["peer"] = Member.PeerAddress_;
  Object["data_centre"] = Member.DataCentre_.Value_;
  Object["joined"] = Member.Joined_;
  Object["retiring"] = Member.IsRetiring_ ? 1 : 0;
  return Object;
}

/// \returns the member's index. For a shard without an owner, which occurs when
/// the last member has left, the number of members.
std::size_t indexOf(const EpochDocument &Document, const MemberId &Id) {
  const auto Entry =
      std::find_if(Document.Members_.begin(), Document.Members_.end(),
                   [&](const EpochMember &Each) { return Each.Id_ == Id; });
  return static_cast<std::size_t>(Entry - Document.Members_.begin());
}

/// Reads fields of one JSON object and records whether any of them was missing
/// or had the wrong type.
class FieldReader {
public:
  explicit FieldReader(const json::value &Value) : Object_(Value.if_object()) {}

  std::string text(std::string_view Name) {
    const json::value *Value = find(Name);
    if (Value != nullptr && Value->is_string())
      return std::string(Value->get_string());
    HasError_ = true;
    return {};
  }

  std::uint64_t number(std::string_view Name) {
    const json::value *Value = find(Name);
    if (Value != nullptr && Value->is_uint64())
      return Value->get_uint64();
    if (Value != nullptr && Value->is_int64() && Value->get_int64() >= 0)
      return static_cast<std::uint64_t>(Value->get_int64());
    HasError_ = true;
    return 0;
  }

  const json::array &array(std::string_view Name) {
    static const json::array Empty;
    const json::value *Value = find(Name);
    if (Value != nullptr && Value->is_array())
      return Value->get_array();
    HasError_ = true;
    return Empty;
  }

  MemberId id() {
    InstanceId Name{text("name")};
    return {std::move(Name), number("incarnation")};
  }

  bool hasError() const { return HasError_; }

private:
  const json::value *find(std::string_view Name) const {
    return Object_ == nullptr ? nullptr : Object_->if_contains(Name);
  }

  const json::object *Object_;
  bool HasError_ = false;
};

bool readMembers(FieldReader &Fields, EpochDocument &Document) {
  for (const json::value &Value : Fields.array("members")) {
    FieldReader Member(Value);
    MemberId Id = Member.id();
    std::string Peer = Member.text("peer");
    DataCentreId DataCentre{Member.text("data_centre")};
    const Epoch Joined = Member.number("joined");
    const bool IsRetiring = Member.number("retiring") != 0;
    if (Member.hasError())
      return false;
    Document.Members_.push_back({std::move(Id), std::move(Peer),
                                 std::move(DataCentre), Joined, IsRetiring});
  }
  return true;
}

bool readDeparted(FieldReader &Fields, EpochDocument &Document) {
  for (const json::value &Value : Fields.array("departed")) {
    FieldReader Departed(Value);
    MemberId Id = Departed.id();
    const Epoch Removed = Departed.number("removed");
    if (Departed.hasError())
      return false;
    Document.Departed_.push_back({std::move(Id), Removed});
  }
  return true;
}

bool readShards(FieldReader &Fields, EpochDocument &Document) {
  const json::array &Owners = Fields.array("owners");
  const json::array &Generations = Fields.array("generations");
  if (Owners.size() != Generations.size() || Owners.size() > MaxShards)
    return false;
  for (std::size_t I = 0; I < Owners.size(); ++I) {
    const std::int64_t *Owner = Owners[I].if_int64();
    const std::int64_t *Generation = Generations[I].if_int64();
    const auto Members = static_cast<std::int64_t>(Document.Members_.size());
    if (Owner == nullptr || Generation == nullptr || *Owner < 0 ||
        *Owner > Members)
      return false;
    ShardOwner Shard;
    if (*Owner < Members)
      Shard.Owner_ = Document.Members_[*Owner].Id_;
    Shard.Generation_ = static_cast<Epoch>(*Generation);
    Document.Shards_.push_back(std::move(Shard));
  }
  return true;
}

} // namespace

const EpochMember *EpochDocument::find(const MemberId &Id) const {
  const auto Entry =
      std::find_if(Members_.begin(), Members_.end(),
                   [&](const EpochMember &Each) { return Each.Id_ == Id; });
  return Entry == Members_.end() ? nullptr : &*Entry;
}

std::string formatEpochDocument(const EpochDocument &Document) {
  json::array Members;
  for (const EpochMember &Member : Document.Members_)
    Members.push_back(writeMember(Member));
  json::array Departed;
  for (const DepartedMember &Each : Document.Departed_) {
    json::object Object = writeId(Each.Id_);
    Object["removed"] = Each.Removed_;
    Departed.push_back(std::move(Object));
  }
  json::array Owners;
  json::array Generations;
  for (const ShardOwner &Shard : Document.Shards_) {
    Owners.push_back(indexOf(Document, Shard.Owner_));
    Generations.push_back(Shard.Generation_);
  }
  return json::serialize(json::object{{"epoch", Document.Epoch_},
                                      {"members", std::move(Members)},
                                      {"departed", std::move(Departed)},
                                      {"owners", std::move(Owners)},
                                      {"generations", std::move(Generations)}});
}

std::optional<EpochDocument> parseEpochDocument(std::string_view Text) {
  boost::system::error_code Error;
  const json::value Value = json::parse({Text.data(), Text.size()}, Error);
  if (Error)
    return std::nullopt;
  FieldReader Fields(Value);
  EpochDocument Document;
  Document.Epoch_ = Fields.number("epoch");
  const bool IsRead = readMembers(Fields, Document) &&
                      readDeparted(Fields, Document) &&
                      readShards(Fields, Document);
  if (!IsRead || Fields.hasError() || Document.Epoch_ == 0)
    return std::nullopt;
  return Document;
}

} // namespace gooseberry
