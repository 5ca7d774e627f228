/// \file
/// Prefix cache of a stand-in engine.
#ifndef TOOLS_STANDIN_ENGINE_PREFIXCACHE_H
#define TOOLS_STANDIN_ENGINE_PREFIXCACHE_H

#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>

namespace gooseberry {

/// Least-recently-used set of prefix blocks, in limited memory.
class PrefixCache {
public:
  /// Called for each change: `stored` or `evicted`, the prefix's hash and its
  /// length in tokens.
  using Observer =
      std::function<void(std::string_view, std::uint64_t, std::uint64_t)>;

  /// \param Blocks most blocks kept.
  /// \param Changed called for each change.
  PrefixCache(std::size_t Blocks, Observer Changed)
      : Limit_(Blocks), Changed_(std::move(Changed)) {}

  /// \param Hashes hashes of a prompt's prefixes, shortest first.
  /// \returns tokens of the longest prefix that is cached.
  std::uint64_t cachedTokens(std::span<const std::uint64_t> Hashes) const;

  /// Stores a prompt's prefixes and evicts the least recently used ones.
  /// \param Hashes hashes of the prefixes, shortest first.
  void store(std::span<const std::uint64_t> Hashes);

private:
  struct Block {
    std::uint64_t Hash_ = 0;
    std::uint64_t Tokens_ = 0;
  };

  void evictOldest();

  std::size_t Limit_;
  Observer Changed_;
  std::list<Block> Order_; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Block>::iterator> Blocks_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_PREFIXCACHE_H
