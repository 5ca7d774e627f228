#include "gooseberrybeam/daemon/PeerDesk.h"

#include <utility>

namespace gooseberry {

std::optional<PeerListenError> PeerDesk::open(boost::asio::io_context &Context,
                                              PeerSettings Settings) {
  auto Made = TcpPeerTransport::make(Context, std::move(Settings));
  if (!isOk(Made))
    return errorOf(Made);
  Transport_ = takeValue(std::move(Made));
  connectParts();
  return std::nullopt;
}

void PeerDesk::connectParts() {
  Transport_->setHandler(
      [this](const MemberId &From, const PeerMessage &Message) {
        onMessage(From, Message);
      });
  ClusterDesk::Senders Senders;
  Senders.Membership_ = [this](const MemberId &To,
                               const MembershipMessage &Message) {
    Transport_->send(To, Message);
  };
  Senders.Limits_ = [this](const MemberId &To, const LimitMessage &Message) {
    Transport_->send(To, Message);
  };
  Cluster_.setSenders(std::move(Senders));
  Sweep_.setAsker(
      [this](const Holder &To, const std::vector<RequestId> &Requests) {
        Transport_->send(To, HoldingQuestion{Requests});
      });
}

void PeerDesk::onEpoch(const EpochDocument &Document) {
  if (Transport_)
    Transport_->setMembers(Document.Members_);
}

void PeerDesk::onRejoin(const MemberId &Self) {
  if (Transport_)
    Transport_->setSelf(Self);
}

void PeerDesk::onList(const InstanceList &List) {
  std::set<std::string> Leaving;
  for (const ListedInstance &Each : List.Entries_) {
    if (Each.State_ != ListedState::Leaving || Each.Kind_ == ListedKind::Entry)
      continue;
    Leaving.insert(Each.Address_);
    if (!Leaving_.contains(Each.Address_))
      tellAll(LeavingNotice{BackendId{Each.Address_}});
  }
  Leaving_ = std::move(Leaving);
}

void PeerDesk::tellAll(const PeerMessage &Message) {
  if (!Transport_)
    return;
  for (const EpochMember &Each : Cluster_.membership().document().Members_)
    if (Each.Id_ != Cluster_.self())
      Transport_->send(Each.Id_, Message);
}

void PeerDesk::sendTo(const InstanceId &To, const PeerMessage &Message) {
  if (!Transport_)
    return;
  for (const EpochMember &Each : Cluster_.membership().document().Members_)
    if (Each.Id_.Name_ == To)
      Transport_->send(Each.Id_, Message);
}

void PeerDesk::noteRevision(const MemberId &From,
                            const MembershipMessage &Message) {
  if (!OnRevision_)
    return;
  if (const auto *Beat = std::get_if<Heartbeat>(&Message))
    OnRevision_(From.Name_, Beat->Revision_);
  else if (const auto *Ack = std::get_if<HeartbeatAck>(&Message))
    OnRevision_(From.Name_, Ack->Revision_);
}

void PeerDesk::onMessage(const MemberId &From, const PeerMessage &Message) {
  std::visit(
      Overloaded{
          [&](const MembershipMessage &Each) {
            noteRevision(From, Each);
            Cluster_.receive(From, Each);
          },
          [&](const LimitMessage &Each) { Cluster_.receive(From, Each); },
          [&](const HoldingQuestion &Each) {
            Transport_->send(From,
                             HoldingAnswer{Sweep_.goneOf(Each.Requests_)});
          },
          [&](const HoldingAnswer &Each) {
            Sweep_.onHolderAnswer(From, Each.Gone_);
          },
          [&](const LeavingNotice &Each) { Watcher_.onLeaving(Each.Server_); },
          [&](const ConfigBytes &Each) {
            if (OnConfig_)
              OnConfig_(From.Name_, Each.Bytes_);
          },
          [&](const PlacementBytes &Each) {
            if (OnPlacement_)
              OnPlacement_(From.Name_, Each.Bytes_);
          }},
      Message);
}

} // namespace gooseberry
