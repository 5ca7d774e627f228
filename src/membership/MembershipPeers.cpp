/// \file
/// How the membership core talks with other members.
#include "gooseberrybeam/membership/MembershipCore.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr Duration HeartbeatLeast = std::chrono::milliseconds(800);
constexpr Duration HeartbeatMost = std::chrono::milliseconds(1000);
constexpr Duration NoticeInterval = std::chrono::milliseconds(500);

} // namespace

void MembershipCore::send(const MemberId &To, MembershipMessage Message) {
  Actions_.emplace_back(SendMembershipMessage{To, std::move(Message)});
}

void MembershipCore::sendHeartbeats(TimePoint Now) {
  if (Now < NextHeartbeat_)
    return;
  NextHeartbeat_ = Now + jitter(HeartbeatLeast, HeartbeatMost);
  const Heartbeat Message = Lease_.makeHeartbeat(Revision_, Now);
  for (const MemberId &Id : Lease_.witnesses()) {
    ++Counters_.Heartbeats_;
    send(Id, Message);
  }
}

void MembershipCore::sendSuspicions(TimePoint Now) {
  if (Now < NextNotice_)
    return;
  NextNotice_ = Now + NoticeInterval;
  for (const MemberId &Silent : Silence_.silent(Now))
    for (const MemberId &Witness : Silence_.witnessesOf(Silent))
      if (Witness != Settings_.Self_)
        send(Witness, SuspectNotice{Silent});
  sendQueries(Now);
}

void MembershipCore::sendQueries(TimePoint /*Now*/) {
  for (const MemberId &Id : Judge_.undecided())
    send(Id, EpochQuery{});
}

void MembershipCore::receive(const MemberId &From,
                             const MembershipMessage &Message, TimePoint Now) {
  if (IsRemoved_)
    return;
  Silence_.noteHeard(From, Now);
  std::visit([&](const auto &Each) { onMessage(From, Each, Now); }, Message);
}

void MembershipCore::noteNewerEpoch(const MemberId &From, Epoch Seen,
                                    TimePoint Now) {
  Judge_.noteEpoch(From, Seen);
  if (Seen <= Document_.Epoch_)
    return;
  // Ask the table, and the peer in case the table cannot be reached.
  NextPoll_ =
      std::min(NextPoll_, Now + jitter(Duration::zero(), HeartbeatLeast));
  send(From, DocumentRequest{});
}

void MembershipCore::onMessage(const MemberId &From, const Heartbeat &Message,
                               TimePoint Now) {
  noteNewerEpoch(From, Message.Epoch_, Now);
  NewestRevision_ = std::max(NewestRevision_, Message.Revision_);
  // In the sender's epoch an acknowledgement counts only if it is this one.
  if (!IsLeaving_)
    send(From, HeartbeatAck{Message.Number_, Document_.Epoch_, Revision_});
}

void MembershipCore::onMessage(const MemberId &From,
                               const HeartbeatAck &Message, TimePoint Now) {
  noteNewerEpoch(From, Message.Epoch_, Now);
  NewestRevision_ = std::max(NewestRevision_, Message.Revision_);
  if (!IsLeaving_)
    Lease_.noteAck(From, Message, Revision_);
}

void MembershipCore::onMessage(const MemberId &From,
                               const SuspectNotice &Message, TimePoint Now) {
  if (Message.Suspect_ != Settings_.Self_)
    Silence_.noteSuspicion(From, Message.Suspect_, Now);
}

void MembershipCore::onMessage(const MemberId &From,
                               const EpochQuery & /*Message*/,
                               TimePoint /*Now*/) {
  send(From, EpochConfirm{Document_.Epoch_});
}

void MembershipCore::onMessage(const MemberId &From,
                               const EpochConfirm &Message, TimePoint Now) {
  noteNewerEpoch(From, Message.Epoch_, Now);
}

void MembershipCore::onMessage(const MemberId &From,
                               const Goodbye & /*Message*/, TimePoint /*Now*/) {
  Judge_.noteEnded(From);
  if (!Document_.hasMember(From))
    return;
  Actions_.emplace_back(MemberGone{From});
  GoneInEpoch_.insert(From);
}

void MembershipCore::onMessage(const MemberId &From,
                               const DocumentRequest & /*Message*/,
                               TimePoint /*Now*/) {
  if (Document_.Epoch_ > 0)
    send(From, DocumentReply{Document_});
}

void MembershipCore::onMessage(const MemberId & /*From*/,
                               const DocumentReply &Message, TimePoint Now) {
  const bool IsFetching = Pending_ && Pending_->Purpose_ == Purpose::Write;
  if (!IsFetching && isMember())
    adopt(Message.Document_, Now);
}

} // namespace gooseberry
