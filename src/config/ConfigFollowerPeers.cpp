#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/ConfigFollower.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace gooseberry {

ConfigActions ConfigFollower::onPeerMessage(const InstanceId &From,
                                            const ConfigMessage &Message,
                                            TimePoint Now) {
  ConfigActions Actions;
  const auto Append = [&Actions](ConfigActions More) {
    std::move(More.begin(), More.end(), std::back_inserter(Actions));
  };
  std::visit(
      Overloaded{
          [&](const ConfigHeld &Held) {
            Append(onPeerRevision(From, Held.Number_, Now));
          },
          [&](const ConfigEntries &Push) {
            Counters_.FromPeers_ += apply(Push.Entries_);
            publish(Actions);
            Actions.push_back(SendConfigMessage{From, ConfigHeld{revision()}});
            if (!Push.Entries_.empty())
              Append(onPeerRevision(From, Push.Entries_.back().Number_, Now));
          },
          [&](const ConfigAsk &Ask) { answerAsk(From, Ask.After_, Actions); },
          [&](const ConfigTooOld &Old) {
            if (Old.Number_ > built() && Source_ == LoadSource::None)
              startPeerLoad();
          },
          [&](const ConfigPartAsk &Ask) {
            if (!isWhole())
              return;
            Actions.push_back(SendConfigMessage{
                From, ConfigPart{revision(), Ask.Part_, Ask.Parts_,
                                 InForce_->partOf(Ask.Part_, Ask.Parts_)}});
          },
          [&](const ConfigPart &Part) { onPart(From, Part, Now, Actions); }},
      Message);
  return Actions;
}

ConfigActions ConfigFollower::onPeerRevision(const InstanceId &From,
                                             Revision Number, TimePoint Now) {
  ConfigActions Actions;
  Newest_ = std::max(Newest_, Number);
  if (Number > built())
    askEntries(From, Now, Actions);
  return Actions;
}

bool ConfigFollower::needsPeerLoad() const {
  const bool IsTableFailing = PollPeriod_ > ConfigPollPeriod;
  return Source_ == LoadSource::None &&
         (!hasBase() || (AwaitsHead_ && IsTableFailing));
}

void ConfigFollower::startPeerLoad() {
  if (Peers_.empty())
    return;
  Source_ = LoadSource::Peer;
  Load_ = SnapshotLoad();
  AskedPeer_ = {};
  PeerAttempts_ = 0;
  NextAsk_ = TimePoint();
}

void ConfigFollower::askParts(TimePoint Now, ConfigActions &Actions) {
  const bool IsRepeated = !AskedPeer_.isEmpty();
  if (IsRepeated && ++PeerAttempts_ >= ConfigPeerAttempts) {
    Source_ = LoadSource::None;
    PeerRetryAt_ = jittered(Now, ConfigPollPeriod);
    return;
  }
  AskedPeer_ = anyPeer();
  NextAsk_ = Now + ConfigPeerTimeout;
  Load_.askAgain();
  for (int I = 0; I < ConfigPartsAtOnce; ++I)
    if (const std::optional<ConfigPartAsk> Ask = Load_.nextPart())
      Actions.push_back(SendConfigMessage{AskedPeer_, *Ask});
}

void ConfigFollower::onPart(const InstanceId &From, const ConfigPart &Part,
                            TimePoint Now, ConfigActions &Actions) {
  Newest_ = std::max(Newest_, Part.Number_);
  if (Source_ != LoadSource::Peer || !Load_.addPart(Part))
    return;
  PeerAttempts_ = 0;
  if (!Load_.isDone()) {
    AskedPeer_ = From;
    NextAsk_ = Now + ConfigPeerTimeout;
    if (const std::optional<ConfigPartAsk> Ask = Load_.nextPart())
      Actions.push_back(SendConfigMessage{From, *Ask});
    return;
  }
  Source_ = LoadSource::None;
  AwaitsHead_ = false;
  adoptLoad();
  publish(Actions);
}

void ConfigFollower::answerAsk(const InstanceId &From, Revision After,
                               ConfigActions &Actions) {
  if (!isWhole() || After >= revision())
    return;
  std::vector<ConfigLogEntry> Entries = entriesAfter(After);
  if (Entries.empty() || Entries.front().Number_ != After + 1) {
    Actions.push_back(SendConfigMessage{From, ConfigTooOld{revision()}});
    return;
  }
  if (Entries.size() > ConfigEntriesPerMessage) {
    Entries.resize(ConfigEntriesPerMessage);
    Actions.push_back(SendConfigMessage{From, ConfigHeld{revision()}});
  }
  Actions.push_back(SendConfigMessage{From, ConfigEntries{std::move(Entries)}});
}

void ConfigFollower::askEntries(const InstanceId &Peer, TimePoint Now,
                                ConfigActions &Actions) {
  if (!hasBase() || Source_ != LoadSource::None || Now < NextAsk_)
    return;
  Actions.push_back(SendConfigMessage{Peer, ConfigAsk{built()}});
  NextAsk_ = Now + ConfigPeerTimeout / 2;
}

const InstanceId &ConfigFollower::anyPeer() {
  assert(!Peers_.empty());
  std::uniform_int_distribution<std::size_t> Choose(0, Peers_.size() - 1);
  return Peers_[Choose(Random_)];
}

} // namespace gooseberry
