#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/ConfigFollower.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace gooseberry {

ConfigActions ConfigFollower::onPeerMessage(const InstanceId &Sender,
                                            const ConfigMessage &Message,
                                            TimePoint Now) {
  ConfigActions Actions;
  const auto Append = [&Actions](ConfigActions More) {
    std::move(More.begin(), More.end(), std::back_inserter(Actions));
  };
  std::visit(
      Overloaded{
          [&](const ConfigRevisionNotice &Notice) {
            Append(onPeerRevision(Sender, Notice.Revision_, Now));
          },
          [&](const ConfigEntries &Received) {
            Counters_.EntriesFromPeers_ += apply(Received.Entries_);
            publish(Actions);
            Actions.push_back(
                SendConfigMessage{Sender, ConfigRevisionNotice{revision()}});
            if (!Received.Entries_.empty())
              Append(onPeerRevision(Sender, Received.Entries_.back().Revision_,
                                    Now));
          },
          [&](const ConfigEntriesRequest &Request) {
            sendEntries(Sender, Request.AfterRevision_, Actions);
          },
          [&](const ConfigEntriesUnavailable &Unavailable) {
            if (Unavailable.Revision_ > candidateRevision() &&
                LoadSource_ == LoadSource::None)
              startPeerLoad();
          },
          [&](const ConfigPartRequest &Request) {
            if (!isLoaded())
              return;
            Actions.push_back(SendConfigMessage{
                Sender,
                ConfigPart{revision(), Request.PartIndex_, Request.PartCount_,
                           Active_->entitiesOfPart(Request.PartIndex_,
                                                   Request.PartCount_)}});
          },
          [&](const ConfigPart &Part) { onPart(Sender, Part, Now, Actions); }},
      Message);
  return Actions;
}

ConfigActions ConfigFollower::onPeerRevision(const InstanceId &Sender,
                                             Revision Number, TimePoint Now) {
  ConfigActions Actions;
  NewestKnown_ = std::max(NewestKnown_, Number);
  if (Number > candidateRevision())
    requestEntries(Sender, Now, Actions);
  return Actions;
}

bool ConfigFollower::needsPeerLoad() const {
  const bool IsTableFailing = PollPeriod_ > ConfigPollPeriod;
  return LoadSource_ == LoadSource::None &&
         (!canApplyEntries() || (NeedsHead_ && IsTableFailing));
}

void ConfigFollower::startPeerLoad() {
  if (Peers_.empty())
    return;
  LoadSource_ = LoadSource::Peer;
  Load_ = SnapshotLoad();
  RequestedPeer_ = {};
  PeerAttempts_ = 0;
  NextRequestAt_ = TimePoint();
}

void ConfigFollower::requestParts(TimePoint Now, ConfigActions &Actions) {
  const bool IsRetry = !RequestedPeer_.isEmpty();
  if (IsRetry && ++PeerAttempts_ >= ConfigMaxPeerAttempts) {
    LoadSource_ = LoadSource::None;
    PeerRetryAt_ = jittered(Now, ConfigPollPeriod);
    return;
  }
  RequestedPeer_ = randomPeer();
  NextRequestAt_ = Now + ConfigPeerTimeout;
  Load_.restartPartRequests();
  for (int I = 0; I < ConfigMaxPartRequests; ++I)
    if (const std::optional<ConfigPartRequest> Request =
            Load_.nextPartRequest())
      Actions.push_back(SendConfigMessage{RequestedPeer_, *Request});
}

void ConfigFollower::onPart(const InstanceId &Sender, const ConfigPart &Part,
                            TimePoint Now, ConfigActions &Actions) {
  NewestKnown_ = std::max(NewestKnown_, Part.Revision_);
  if (LoadSource_ != LoadSource::Peer || !Load_.addPart(Part))
    return;
  PeerAttempts_ = 0;
  if (!Load_.isComplete()) {
    RequestedPeer_ = Sender;
    NextRequestAt_ = Now + ConfigPeerTimeout;
    if (const std::optional<ConfigPartRequest> Request =
            Load_.nextPartRequest())
      Actions.push_back(SendConfigMessage{Sender, *Request});
    return;
  }
  LoadSource_ = LoadSource::None;
  NeedsHead_ = false;
  installSnapshot();
  publish(Actions);
}

void ConfigFollower::sendEntries(const InstanceId &Sender,
                                 Revision AfterRevision,
                                 ConfigActions &Actions) {
  if (!isLoaded() || AfterRevision >= revision())
    return;
  std::vector<ConfigLogEntry> Entries = entriesAfter(AfterRevision);
  if (Entries.empty() || Entries.front().Revision_ != AfterRevision + 1) {
    Actions.push_back(
        SendConfigMessage{Sender, ConfigEntriesUnavailable{revision()}});
    return;
  }
  if (Entries.size() > ConfigEntriesPerMessage) {
    Entries.resize(ConfigEntriesPerMessage);
    Actions.push_back(
        SendConfigMessage{Sender, ConfigRevisionNotice{revision()}});
  }
  Actions.push_back(
      SendConfigMessage{Sender, ConfigEntries{std::move(Entries)}});
}

void ConfigFollower::requestEntries(const InstanceId &Peer, TimePoint Now,
                                    ConfigActions &Actions) {
  if (!canApplyEntries() || LoadSource_ != LoadSource::None ||
      Now < NextRequestAt_)
    return;
  Actions.push_back(
      SendConfigMessage{Peer, ConfigEntriesRequest{candidateRevision()}});
  NextRequestAt_ = Now + ConfigPeerTimeout / 2;
}

const InstanceId &ConfigFollower::randomPeer() {
  assert(!Peers_.empty());
  std::uniform_int_distribution<std::size_t> IndexDistribution(
      0, Peers_.size() - 1);
  return Peers_[IndexDistribution(Random_)];
}

} // namespace gooseberry
