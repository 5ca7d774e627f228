#include "standin_engine/PrefixCache.h"

#include "common/Tokens.h"

namespace gooseberry {

std::uint64_t
PrefixCache::cachedTokens(std::span<const std::uint64_t> Hashes) const {
  std::uint64_t Tokens = 0;
  for (const auto Hash : Hashes) {
    if (!Blocks_.contains(Hash))
      break;
    Tokens += PrefixBlockTokens;
  }
  return Tokens;
}

void PrefixCache::store(std::span<const std::uint64_t> Hashes) {
  std::uint64_t Tokens = 0;
  for (const auto Hash : Hashes) {
    Tokens += PrefixBlockTokens;
    const auto Known = Blocks_.find(Hash);
    if (Known != Blocks_.end()) {
      Order_.splice(Order_.begin(), Order_, Known->second);
      continue;
    }
    Order_.push_front({Hash, Tokens});
    Blocks_[Hash] = Order_.begin();
    Changed_("stored", Hash, Tokens);
  }
  while (Order_.size() > Limit_)
    evictOldest();
}

void PrefixCache::evictOldest() {
  const auto Oldest = Order_.back();
  Order_.pop_back();
  Blocks_.erase(Oldest.Hash_);
  Changed_("evicted", Oldest.Hash_, Oldest.Tokens_);
}

} // namespace gooseberry
