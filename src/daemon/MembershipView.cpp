#include "gooseberrybeam/daemon/MembershipView.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace gooseberry {
namespace {

/// Longer than an instance can serve without the epoch's other members
/// learning of the epoch that lists it.
constexpr Duration UnlistedGrace = std::chrono::seconds(10);

std::uint64_t rendezvousWeight(const BackendId &Engine, const MemberId &Id) {
  const std::string Text = Engine.Value_ + "/" + Id.Name_.Value_;
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace

MembershipView::MembershipView(Holder Self, const GenerationDesk &Desk)
    : Self_(std::move(Self)), Desk_(Desk) {}

void MembershipView::adoptEpoch(const EpochDocument &Document) {
  Document_ = Document;
  std::erase_if(Unlisted_,
                [this](const auto &Entry) { return isListed(Entry.first); });
}

void MembershipView::tick(TimePoint Now, bool IsLeaseValid) {
  if (IsLeaseValid && LastTick_ != TimePoint())
    ValidFor_ += Now - LastTick_;
  LastTick_ = Now;
}

bool MembershipView::onIsActive(const RequestId &Request) const {
  return Desk_.isActive(Request);
}

HolderStatus MembershipView::onStatusOf(const Holder &Value) const {
  if (Value == Self_)
    return HolderStatus::Self;
  if (Document_.hasMember(Value))
    return HolderStatus::Member;
  if (Gone_.contains(Value))
    return HolderStatus::KnownGone;
  if (isListed(Value))
    return HolderStatus::Uncertain;
  const Duration Since = Unlisted_.emplace(Value, ValidFor_).first->second;
  return ValidFor_ - Since >= UnlistedGrace ? HolderStatus::KnownGone
                                            : HolderStatus::Uncertain;
}

bool MembershipView::onIsSweeper(const BackendId &Engine) const {
  if (!Document_.hasMember(Self_))
    return false;
  const auto Heaviest =
      std::max_element(Document_.Members_.begin(), Document_.Members_.end(),
                       [&](const EpochMember &A, const EpochMember &B) {
                         return rendezvousWeight(Engine, A.Id_) <
                                rendezvousWeight(Engine, B.Id_);
                       });
  return Heaviest->Id_ == Self_;
}

bool MembershipView::isListed(const Holder &Value) const {
  if (Document_.hasMember(Value))
    return true;
  return std::any_of(
      Document_.Departed_.begin(), Document_.Departed_.end(),
      [&](const DepartedMember &Each) { return Each.Id_ == Value; });
}

} // namespace gooseberry
