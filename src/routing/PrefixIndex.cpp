#include "gooseberrybeam/routing/PrefixIndex.h"

#include <algorithm>
#include <cassert>

namespace gooseberry {

PrefixIndex::PrefixIndex(std::size_t Sets)
    : Entries_(Sets * Ways), Mask_(Sets - 1) {
  assert((Sets & (Sets - 1)) == 0);
}

std::span<PrefixIndex::Entry> PrefixIndex::setOf(std::uint64_t Prefix) {
  return std::span(Entries_).subspan((Prefix & Mask_) * Ways, Ways);
}

std::span<const PrefixIndex::Entry>
PrefixIndex::setOf(std::uint64_t Prefix) const {
  return std::span(Entries_).subspan((Prefix & Mask_) * Ways, Ways);
}

void PrefixIndex::store(std::uint64_t Prefix, std::uint32_t Engine) {
  auto Set = setOf(Prefix);
  auto Slot = std::ranges::find_if(Set, [&](const Entry &E) {
    return E.Stamp_ != 0 && E.Prefix_ == Prefix && E.Engine_ == Engine;
  });
  if (Slot == Set.end())
    Slot = std::ranges::min_element(Set, {}, &Entry::Stamp_);
  *Slot = {Prefix, Engine, ++Stamp_};
}

void PrefixIndex::evict(std::uint64_t Prefix, std::uint32_t Engine) {
  for (Entry &E : setOf(Prefix))
    if (E.Prefix_ == Prefix && E.Engine_ == Engine)
      E.Stamp_ = 0;
}

std::span<const PrefixIndex::Match>
PrefixIndex::find(std::span<const std::uint64_t> Prefixes,
                  std::span<Match> Buffer) const {
  std::size_t Found = 0;
  for (std::size_t I = Prefixes.size(); I > 0 && Found == 0; --I)
    for (const Entry &E : setOf(Prefixes[I - 1]))
      if (E.Stamp_ != 0 && E.Prefix_ == Prefixes[I - 1] &&
          Found < Buffer.size())
        Buffer[Found++] = {E.Engine_, static_cast<std::uint32_t>(I)};
  return Buffer.first(Found);
}

} // namespace gooseberry
