#include "gooseberrybeam/membership/EpochEditor.h"

#include <algorithm>
#include <map>

namespace gooseberry {

namespace {

void eraseMember(EpochDocument &Document, const MemberId &Id) {
  std::erase_if(Document.Members_,
                [&](const EpochMember &Each) { return Each.Id_ == Id; });
}

void eraseDeparted(EpochDocument &Document, const MemberId &Id) {
  std::erase_if(Document.Departed_,
                [&](const DepartedMember &Each) { return Each.Id_ == Id; });
}

const EpochMember *findName(const EpochDocument &Document,
                            const InstanceId &Name) {
  const auto Entry = std::find_if(
      Document.Members_.begin(), Document.Members_.end(),
      [&](const EpochMember &Each) { return Each.Id_.Name_ == Name; });
  return Entry == Document.Members_.end() ? nullptr : &*Entry;
}

/// Removes an older incarnation of the joining instance. If the new process
/// could bind the same address, the old one has ended and needs no entry among
/// the departed members.
void supersede(EpochDocument &Document, const EpochMember &Joining) {
  const EpochMember *Previous = findName(Document, Joining.Id_.Name_);
  if (Previous == nullptr)
    return;
  const EpochMember Old = *Previous;
  eraseMember(Document, Old.Id_);
  if (Old.PeerAddress_ != Joining.PeerAddress_)
    Document.Departed_.push_back({Old.Id_, Document.Epoch_});
}

void join(EpochDocument &Document, EpochMember Joining) {
  supersede(Document, Joining);
  Joining.Joined_ = Document.Epoch_;
  Document.Members_.push_back(std::move(Joining));
  std::sort(Document.Members_.begin(), Document.Members_.end(),
            [](const EpochMember &Left, const EpochMember &Right) {
              return Left.Id_ < Right.Id_;
            });
}

std::map<MemberId, std::size_t> countShards(const EpochDocument &Document) {
  std::map<MemberId, std::size_t> Counts;
  const bool HasOthers =
      std::any_of(Document.Members_.begin(), Document.Members_.end(),
                  [](const EpochMember &Each) { return !Each.IsRetiring_; });
  for (const EpochMember &Each : Document.Members_)
    if (!Each.IsRetiring_ || !HasOthers)
      Counts[Each.Id_] = 0;
  for (const ShardOwner &Shard : Document.Shards_)
    if (Counts.contains(Shard.Owner_))
      ++Counts[Shard.Owner_];
  return Counts;
}

MemberId leastLoaded(const std::map<MemberId, std::size_t> &Counts) {
  return std::min_element(Counts.begin(), Counts.end(),
                          [](const auto &Left, const auto &Right) {
                            return Left.second < Right.second;
                          })
      ->first;
}

/// Assigns shards without an eligible owner, and then shards of owners above
/// the even share, to the members that own the fewest.
void rebalanceShards(EpochDocument &Document) {
  auto Counts = countShards(Document);
  const auto Reassign = [&](ShardOwner &Shard) {
    const MemberId NewOwner = leastLoaded(Counts);
    Shard = {NewOwner, Document.Epoch_};
    ++Counts[NewOwner];
  };
  for (ShardOwner &Shard : Document.Shards_)
    if (!Counts.contains(Shard.Owner_))
      Reassign(Shard);
  const std::size_t MinShare = Document.Shards_.size() / Counts.size();
  for (ShardOwner &Shard : Document.Shards_) {
    const bool IsDone = Counts[leastLoaded(Counts)] >= MinShare;
    if (IsDone)
      break;
    if (Counts[Shard.Owner_] <= MinShare)
      continue;
    --Counts[Shard.Owner_];
    Reassign(Shard);
  }
}

} // namespace

EpochChangeOutcome changeEpoch(const EpochDocument &Current,
                               const EpochChange &Change, std::size_t Shards) {
  EpochDocument Next = Current;
  ++Next.Epoch_;
  for (const MemberId &Id : Change.Gone_) {
    eraseMember(Next, Id);
    eraseDeparted(Next, Id);
  }
  for (const MemberId &Id : Change.Remove_) {
    if (!Next.hasMember(Id))
      continue;
    eraseMember(Next, Id);
    Next.Departed_.push_back({Id, Next.Epoch_});
  }
  for (EpochMember &Each : Next.Members_)
    if (Change.Retire_ == Each.Id_)
      Each.IsRetiring_ = true;
  if (Change.Join_ && !Next.hasMember(Change.Join_->Id_)) {
    const EpochMember *SameName = findName(Next, Change.Join_->Id_.Name_);
    if (SameName != nullptr &&
        SameName->Id_.Incarnation_ > Change.Join_->Id_.Incarnation_)
      return SupersededByNewer{};
    join(Next, *Change.Join_);
  }
  if (Next.Members_ == Current.Members_ && Next.Departed_ == Current.Departed_)
    return NothingToChange{};
  if (Next.Shards_.empty())
    Next.Shards_.resize(Shards);
  // Without members the shards keep their last owner until an instance joins.
  if (!Next.Members_.empty())
    rebalanceShards(Next);
  return Next;
}

} // namespace gooseberry
