/// \file
/// The part of `MembershipCore` that exchanges messages with other members.
#include "gooseberrybeam/membership/MembershipCore.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr Duration MinHeartbeatInterval = std::chrono::milliseconds(800);
constexpr Duration MaxHeartbeatInterval = std::chrono::milliseconds(1000);
constexpr Duration SuspectNoticeInterval = std::chrono::milliseconds(500);

} // namespace

void MembershipCore::send(const MemberId &Recipient,
                          MembershipMessage Message) {
  Actions_.emplace_back(SendMembershipMessage{Recipient, std::move(Message)});
}

void MembershipCore::sendHeartbeats(TimePoint Now) {
  if (Now < NextHeartbeat_)
    return;
  NextHeartbeat_ = Now + jitter(MinHeartbeatInterval, MaxHeartbeatInterval);
  const Heartbeat Message = Lease_.makeHeartbeat(Revision_, Now);
  for (const MemberId &Id : Lease_.witnesses()) {
    ++Counters_.Heartbeats_;
    send(Id, Message);
  }
}

void MembershipCore::sendSuspicions(TimePoint Now) {
  if (Now < NextSuspectNotice_)
    return;
  NextSuspectNotice_ = Now + SuspectNoticeInterval;
  for (const MemberId &SilentMember : Detector_.silentMembers(Now))
    for (const MemberId &Witness : Detector_.witnessesOf(SilentMember))
      if (Witness != Settings_.Self_)
        send(Witness, SuspectNotice{SilentMember});
  sendQueries(Now);
}

void MembershipCore::sendQueries(TimePoint /*Now*/) {
  for (const MemberId &Id : Departures_.membersToQuery())
    send(Id, EpochQuery{});
}

void MembershipCore::receive(const MemberId &Sender,
                             const MembershipMessage &Message, TimePoint Now) {
  if (IsRemoved_)
    return;
  Detector_.noteContact(Sender, Now);
  std::visit([&](const auto &Each) { onMessage(Sender, Each, Now); }, Message);
}

void MembershipCore::noteEpochOf(const MemberId &Sender, Epoch PeerEpoch,
                                 TimePoint Now) {
  Departures_.noteEpoch(Sender, PeerEpoch);
  if (PeerEpoch <= Document_.Epoch_)
    return;
  // Read the table soon, and ask the peer in case the table cannot be reached.
  NextPoll_ =
      std::min(NextPoll_, Now + jitter(Duration::zero(), MinHeartbeatInterval));
  send(Sender, DocumentRequest{});
}

void MembershipCore::onMessage(const MemberId &Sender, const Heartbeat &Message,
                               TimePoint Now) {
  noteEpochOf(Sender, Message.Epoch_, Now);
  NewestRevision_ = std::max(NewestRevision_, Message.Revision_);
  // The sender ignores an acknowledgement that carries another epoch than its
  // own.
  if (!IsLeaving_)
    send(Sender, HeartbeatAck{Message.Number_, Document_.Epoch_, Revision_});
}

void MembershipCore::onMessage(const MemberId &Sender,
                               const HeartbeatAck &Message, TimePoint Now) {
  noteEpochOf(Sender, Message.Epoch_, Now);
  NewestRevision_ = std::max(NewestRevision_, Message.Revision_);
  if (!IsLeaving_)
    Lease_.noteAck(Sender, Message, Revision_);
}

void MembershipCore::onMessage(const MemberId &Sender,
                               const SuspectNotice &Message, TimePoint Now) {
  if (Message.Suspect_ != Settings_.Self_)
    Detector_.noteSuspicion(Sender, Message.Suspect_, Now);
}

void MembershipCore::onMessage(const MemberId &Sender,
                               const EpochQuery & /*Message*/,
                               TimePoint /*Now*/) {
  send(Sender, EpochConfirm{Document_.Epoch_});
}

void MembershipCore::onMessage(const MemberId &Sender,
                               const EpochConfirm &Message, TimePoint Now) {
  noteEpochOf(Sender, Message.Epoch_, Now);
}

void MembershipCore::onMessage(const MemberId &Sender,
                               const Goodbye & /*Message*/, TimePoint /*Now*/) {
  Departures_.noteTerminated(Sender);
  if (!Document_.hasMember(Sender))
    return;
  Actions_.emplace_back(MemberGone{Sender});
  GoneButListed_.insert(Sender);
}

void MembershipCore::onMessage(const MemberId &Sender,
                               const DocumentRequest & /*Message*/,
                               TimePoint /*Now*/) {
  if (Document_.Epoch_ > 0)
    send(Sender, DocumentReply{Document_});
}

void MembershipCore::onMessage(const MemberId & /*Sender*/,
                               const DocumentReply &Message, TimePoint Now) {
  const bool IsWritePending = Pending_ && Pending_->Purpose_ == Purpose::Write;
  if (!IsWritePending && isMember())
    adopt(Message.Document_, Now);
}

} // namespace gooseberry
