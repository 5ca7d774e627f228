#include "gooseberrybeam/relay/StreamOriginLedger.h"

namespace gooseberry {

// Neither of two origins is the right one for certain.
void StreamOriginLedger::dispute(Entry &Known) {
  Known.Origin_.Software_ = {};
  Known.SavedAt_.reset();
  Known.IsSavedElsewhere_ = false;
}

void StreamOriginLedger::record(const StreamOrigin &Origin, TimePoint Now) {
  const auto [Found, IsNew] =
      Entries_.try_emplace(Origin.Stream_, Entry{Origin, Now, {}, false});
  Entry &Known = Found->second;
  Known.SeenAt_ = Now;
  Known.IsSavedElsewhere_ = false;
  const bool IsDisputed = Known.Origin_.Software_.isEmpty();
  if (!IsDisputed && Known.Origin_ != Origin)
    dispute(Known);
}

void StreamOriginLedger::onEnded(const RequestId &Stream, TimePoint Now) {
  const auto Found = Entries_.find(Stream);
  if (Found != Entries_.end())
    Found->second.SeenAt_ = Now - Lifetime + EndedLifetime;
}

void StreamOriginLedger::merge(std::span<const StreamOrigin> Saved,
                               TimePoint Now) {
  for (const StreamOrigin &Each : Saved) {
    const auto [Found, IsNew] =
        Entries_.try_emplace(Each.Stream_, Entry{Each, Now, {}, true});
    const bool IsDisputed = Found->second.Origin_.Software_.isEmpty();
    if (!IsDisputed && Found->second.Origin_ != Each)
      dispute(Found->second);
  }
}

std::optional<StreamOrigin> StreamOriginLedger::find(const RequestId &Stream,
                                                     TimePoint Now) {
  const auto Found = Entries_.find(Stream);
  if (Found == Entries_.end() || Found->second.Origin_.Software_.isEmpty())
    return std::nullopt;
  Found->second.SeenAt_ = Now;
  return Found->second.Origin_;
}

bool StreamOriginLedger::mustSave(const Entry &Each, TimePoint Now) {
  if (Each.SavedAt_)
    return Each.SeenAt_ > *Each.SavedAt_ &&
           Now >= *Each.SavedAt_ + SaveInterval;
  return !Each.IsSavedElsewhere_;
}

std::vector<StreamOrigin> StreamOriginLedger::takeUnsaved(std::size_t MaxCount,
                                                          TimePoint Now) {
  std::erase_if(Entries_, [Now](const auto &Each) {
    return Each.second.SeenAt_ + Lifetime < Now;
  });
  std::vector<StreamOrigin> Unsaved;
  for (auto &[Stream, Each] : Entries_) {
    if (Unsaved.size() == MaxCount)
      break;
    if (!mustSave(Each, Now))
      continue;
    Each.SavedAt_ = Now;
    Unsaved.push_back(Each.Origin_);
  }
  return Unsaved;
}

void StreamOriginLedger::giveBack(std::span<const StreamOrigin> Origins) {
  for (const StreamOrigin &Each : Origins) {
    const auto Found = Entries_.find(Each.Stream_);
    if (Found != Entries_.end())
      Found->second.SavedAt_.reset();
  }
}

} // namespace gooseberry
