#include "gooseberrybeam/membership/Witnesses.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gooseberry {

namespace {

std::uint64_t hashOf(const MemberId &Id, std::uint64_t Seed) {
  const std::string &Name = Id.Name_.Value_;
  return XXH64(Name.data(), Name.size(), Seed ^ Id.Incarnation_);
}

} // namespace

std::vector<MemberId> chooseWitnesses(const EpochDocument &Document,
                                      const MemberId &Id) {
  const std::uint64_t Seed = hashOf(Id, 0);
  std::vector<std::pair<std::uint64_t, MemberId>> Ranked;
  Ranked.reserve(Document.Members_.size());
  for (const EpochMember &Each : Document.Members_)
    if (Each.Id_ != Id)
      Ranked.emplace_back(hashOf(Each.Id_, Seed), Each.Id_);
  const std::size_t Count = std::min(MaxWitnesses, Ranked.size());
  std::partial_sort(Ranked.begin(), Ranked.begin() + Count, Ranked.end());
  std::vector<MemberId> Chosen;
  Chosen.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Chosen.push_back(Ranked[I].second);
  return Chosen;
}

} // namespace gooseberry
