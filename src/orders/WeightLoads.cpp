#include "gooseberrybeam/orders/WeightLoads.h"

#include <boost/json.hpp>

#include <algorithm>

namespace json = boost::json;

namespace gooseberry {

Result<WeightLoads, WeightLoadsError>
WeightLoads::makeFromRow(std::string_view Value) {
  WeightLoads Loads;
  if (Value.empty())
    return Loads;
  boost::system::error_code Error;
  const json::value Parsed =
      json::parse(json::string_view(Value.data(), Value.size()), Error);
  if (Error || !Parsed.is_array())
    return WeightLoadsError::Malformed;
  for (const json::value &Entry : Parsed.get_array()) {
    if (!Entry.is_string())
      return WeightLoadsError::Malformed;
    Loads.Engines_.push_back(BackendId{std::string(Entry.get_string())});
  }
  return Loads;
}

bool WeightLoads::tryAdd(const BackendId &Engine, std::size_t MaxLoads) {
  if (isListed(Engine))
    return true;
  if (Engines_.size() >= MaxLoads)
    return false;
  Engines_.push_back(Engine);
  return true;
}

void WeightLoads::remove(const BackendId &Engine) {
  std::erase(Engines_, Engine);
}

bool WeightLoads::isListed(const BackendId &Engine) const {
  return std::find(Engines_.begin(), Engines_.end(), Engine) != Engines_.end();
}

std::string WeightLoads::encode() const {
  json::array Array;
  for (const BackendId &Engine : Engines_)
    Array.emplace_back(Engine.Value_);
  return json::serialize(Array);
}

} // namespace gooseberry
