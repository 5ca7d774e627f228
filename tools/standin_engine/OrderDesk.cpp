#include "standin_engine/OrderDesk.h"

#include "common/JsonFields.h"

#include <algorithm>

namespace gooseberry {
namespace {

namespace json = boost::json;

constexpr std::size_t MostModels = 2;
constexpr std::size_t MostLogged = 1000;

/// The field that carries what an order of a kind is about.
std::string_view fieldOf(std::string_view Kind) {
  if (Kind == "load_model")
    return "model";
  if (Kind == "load_adapter")
    return "adapter";
  return Kind == "set_version" ? "version" : "role";
}

void addLatest(std::vector<std::string> &Names, std::string Name) {
  std::erase(Names, Name);
  Names.push_back(std::move(Name));
  if (Names.size() > MostModels)
    Names.erase(Names.begin());
}

json::array renderNames(const std::vector<std::string> &Names) {
  json::array Out;
  for (const auto &Name : Names)
    Out.emplace_back(Name);
  return Out;
}

} // namespace

OrderDesk::OrderDesk(asio::io_context &Context, const EngineSettings &Settings)
    : Context_(Context), ChecksFence_(Settings.ChecksFence_),
      WeightsTime_(static_cast<std::int64_t>(Settings.WeightsMs_)),
      Role_(Settings.Role_), Models_{Settings.Model_} {}

bool OrderDesk::take(const json::object &Body) {
  const auto Fence = countOf(Body, "fence");
  const bool IsOld = Fence < HighestFence_;
  const bool IsTaken = !IsOld || !ChecksFence_;
  auto Entry = Body;
  Entry["accepted"] = IsTaken;
  Entry["stale"] = IsOld;
  if (Log_.size() < MostLogged)
    Log_.push_back(std::move(Entry));
  if (!IsTaken)
    return false;
  HighestFence_ = std::max(HighestFence_, Fence);
  const auto Kind = textOf(Body, "kind");
  auto Name = textOf(Body, fieldOf(Kind));
  if (Kind == "set_role")
    Role_ = std::move(Name);
  else
    asio::co_spawn(Context_, fetchWeights(Kind, std::move(Name)),
                   asio::detached);
  return true;
}

asio::awaitable<void> OrderDesk::fetchWeights(std::string Kind,
                                              std::string Name) {
  ++Loads_;
  co_await sleepFor(WeightsTime_);
  --Loads_;
  finish(Kind, std::move(Name));
}

void OrderDesk::finish(std::string_view Kind, std::string Name) {
  if (Kind == "load_model")
    addLatest(Models_, std::move(Name));
  else if (Kind == "load_adapter")
    addLatest(Adapters_, std::move(Name));
  else
    Version_ = std::move(Name);
}

bool OrderDesk::hasRole(std::string_view Role) const {
  return Role_ == Role || Role_ == "both";
}

bool OrderDesk::hasModel(std::string_view Model) const {
  return std::ranges::find(Models_, Model) != Models_.end();
}

void OrderDesk::describe(json::object &Report) const {
  Report["role"] = Role_;
  Report["models"] = renderNames(Models_);
  Report["adapters"] = renderNames(Adapters_);
  Report["version"] = Version_;
  Report["loading"] = Loads_;
}

} // namespace gooseberry
