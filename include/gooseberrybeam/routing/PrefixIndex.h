/// \file
/// An approximate index of cached prompt prefixes.
#ifndef GOOSEBERRYBEAM_ROUTING_PREFIXINDEX_H
#define GOOSEBERRYBEAM_ROUTING_PREFIXINDEX_H

#include <cstdint>
#include <span>
#include <vector>

namespace gooseberry {

/// Remembers which engines may hold a prefix, in fixed memory: a
/// set-associative table whose oldest entry of a set gives way. Both errors are
/// allowed, since cache events are late and lossy: a wrong hit costs a prefill
/// of full length.
class PrefixIndex {
public:
  /// \param Sets number of sets, a power of two.
  explicit PrefixIndex(std::size_t Sets = 4096);

  /// \param Prefix hash of the prefix.
  /// \param Engine index of the engine.
  void store(std::uint64_t Prefix, std::uint32_t Engine);

  /// \param Prefix hash of the prefix.
  /// \param Engine index of the engine.
  void evict(std::uint64_t Prefix, std::uint32_t Engine);

  /// An engine that may hold a prefix of a prompt.
  struct Match {
    std::uint32_t Engine_ = 0;
    std::uint32_t Prefixes_ = 0; ///< Prefix steps held.
  };

  /// Finds engines that may hold the longest known prefix.
  /// \param Prefixes hashes of a prompt's prefixes, shortest first.
  /// \param Buffer room for the matches.
  /// \returns the part of \p Buffer that was filled.
  std::span<const Match> find(std::span<const std::uint64_t> Prefixes,
                              std::span<Match> Buffer) const;

  /// \returns bytes held; never changes.
  std::size_t memoryBytes() const { return Entries_.size() * sizeof(Entry); }

private:
  struct Entry {
    std::uint64_t Prefix_ = 0;
    std::uint32_t Engine_ = 0;
    std::uint32_t Stamp_ = 0; ///< 0 if empty.
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
