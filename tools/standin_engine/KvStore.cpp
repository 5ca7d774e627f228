#include "standin_engine/KvStore.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace gooseberry {
namespace {

using Clock = std::chrono::steady_clock;

std::string_view asCode(KvState State) {
  switch (State) {
  case KvState::Prefilling:
    return "prefilling";
  case KvState::Prefilled:
    return "prefilled";
  case KvState::Importing:
    return "importing";
  case KvState::Decoding:
    return "decoding";
  }
  return "";
}

} // namespace

KvHolding *KvStore::add(KvHolding Holding) {
  if (Used_ + Holding.Pieces_ > Total_)
    return nullptr;
  Used_ += Holding.Pieces_;
  Holding.Kv_ = Prefix_ + std::to_string(NextName_++);
  Holding.Since_ = Clock::now();
  auto Name = Holding.Kv_;
  const auto Added = Holdings_.emplace(std::move(Name), std::move(Holding));
  return &Added.first->second;
}

KvHolding *KvStore::find(std::string_view Kv) {
  const auto Found = Holdings_.find(Kv);
  return Found == Holdings_.end() ? nullptr : &Found->second;
}

bool KvStore::isHeldFor(std::string_view Request) const {
  return std::ranges::any_of(Holdings_, [&](const auto &Entry) {
    return Entry.second.Request_ == Request;
  });
}

std::uint64_t KvStore::release(std::string_view Kv) {
  const auto Found = Holdings_.find(Kv);
  if (Found == Holdings_.end())
    return 0;
  const auto Pieces = Found->second.Pieces_;
  if (Found->second.State_ == KvState::Prefilled)
    WastedTokens_ += Found->second.Computed_;
  Used_ -= Pieces;
  Holdings_.erase(Found);
  return Pieces;
}

void KvStore::finishExport(std::string_view Kv) {
  if (auto *Holding = find(Kv))
    Holding->Computed_ = 0;
  release(Kv);
}

std::vector<std::string> KvStore::namesOf(std::string_view Request) const {
  std::vector<std::string> Names;
  for (const auto &[Name, Holding] : Holdings_) {
    if (Holding.Request_ == Request)
      Names.push_back(Name);
  }
  return Names;
}

void KvStore::evictOlderThan(Clock::time_point Limit) {
  std::vector<std::string> Old;
  for (const auto &[Name, Holding] : Holdings_) {
    const bool IsIdle =
        Holding.State_ == KvState::Prefilled && !Holding.IsExporting_;
    if (IsIdle && Holding.Since_ < Limit)
      Old.push_back(Name);
  }
  for (const auto &Name : Old)
    release(Name);
  Evictions_ += Old.size();
}

boost::json::array KvStore::asJson() const {
  boost::json::array Out;
  const auto Now = Clock::now();
  for (const auto &[Name, Holding] : Holdings_) {
    const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Holding.Since_);
    boost::json::object Entry = {{"kv", Name},
                                 {"request", Holding.Request_},
                                 {"holder", Holding.Holder_},
                                 {"pieces", Holding.Pieces_},
                                 {"age_ms", Age.count()},
                                 {"state", asCode(Holding.State_)}};
    if (Holding.State_ == KvState::Prefilled)
      Entry["pinned"] = Holding.IsExporting_;
    Out.push_back(std::move(Entry));
  }
  return Out;
}

} // namespace gooseberry
