/// \file
/// An approximate index of cached prompt prefixes.
#ifndef GOOSEBERRYBEAM_ROUTING_PREFIXINDEX_H
#define GOOSEBERRYBEAM_ROUTING_PREFIXINDEX_H

#include <cstdint>
#include <span>
#include <vector>

namespace gooseberry {

/// Maps prefix hashes to engines that may have them cached, in a
/// set-associative table of fixed size that evicts the oldest entry of a set.
/// False hits and misses are acceptable because cache events arrive late or are
/// lost: a false hit costs one full prefill.
class PrefixIndex {
public:
  /// \param Sets the number of sets; must be a power of two.
  explicit PrefixIndex(std::size_t Sets = 4096);

  /// \param Prefix the hash of the prefix.
  /// \param Engine the index of the engine.
  void store(std::uint64_t Prefix, std::uint32_t Engine);

  /// \param Prefix the hash of the prefix.
  /// \param Engine the index of the engine.
  void evict(std::uint64_t Prefix, std::uint32_t Engine);

  /// An engine that may have a prefix of a prompt cached.
  struct Match {
    std::uint32_t Engine_ = 0;
    std::uint32_t Prefixes_ = 0; ///< Number of leading prefix hashes cached.
  };

  /// Finds engines that may have the longest indexed prefix cached.
  /// \param Prefixes the hashes of the prompt's prefixes, shortest first.
  /// \param Buffer receives the matches; excess matches are dropped.
  /// \returns the filled part of \p Buffer.
  std::span<const Match> find(std::span<const std::uint64_t> Prefixes,
                              std::span<Match> Buffer) const;

  /// \returns the size of the table in bytes, which is constant.
  std::size_t memoryBytes() const { return Entries_.size() * sizeof(Entry); }

private:
  struct Entry {
    std::uint64_t Prefix_ = 0;
    std::uint32_t Engine_ = 0;
    std::uint32_t Stamp_ = 0; ///< Insertion order; 0 if empty.
  };

  static constexpr std::size_t Ways = 8;

  std::span<Entry> setOf(std::uint64_t Prefix);
  std::span<const Entry> setOf(std::uint64_t Prefix) const;

  std::vector<Entry> Entries_;
  std::size_t Mask_;
  std::uint32_t Stamp_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_PREFIXINDEX_H
