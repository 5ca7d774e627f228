#include "gooseberrybeam/membership/InstanceLease.h"

#include "gooseberrybeam/membership/Witnesses.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr std::size_t MaxTrackedHeartbeats = 8;

} // namespace

void InstanceLease::adoptEpoch(Epoch Current,
                               std::span<const MemberId> Witnesses) {
  Epoch_ = Current;
  Witnesses_.assign(Witnesses.begin(), Witnesses.end());
  AckedSentAt_.clear();
}

Heartbeat InstanceLease::makeHeartbeat(std::uint64_t Revision, TimePoint Now) {
  const std::uint64_t Number = NextNumber_++;
  SentAt_.emplace(Number, Now);
  while (SentAt_.size() > MaxTrackedHeartbeats)
    SentAt_.erase(SentAt_.begin());
  return {Number, Epoch_, Revision};
}

void InstanceLease::noteAck(const MemberId &Witness, const HeartbeatAck &Ack,
                            std::uint64_t Revision) {
  const auto Sent = SentAt_.find(Ack.Number_);
  const bool IsCurrent = Sent != SentAt_.end() && Ack.Epoch_ == Epoch_ &&
                         Ack.Revision_ <= Revision;
  if (!IsCurrent || std::find(Witnesses_.begin(), Witnesses_.end(), Witness) ==
                        Witnesses_.end())
    return;
  TimePoint &LastSentAt = AckedSentAt_[Witness];
  LastSentAt = std::max(LastSentAt, Sent->second);
  const std::size_t Majority = majorityOf(Witnesses_.size());
  if (AckedSentAt_.size() < Majority)
    return;
  std::vector<TimePoint> SendTimes;
  SendTimes.reserve(AckedSentAt_.size());
  for (const auto &[Id, Time] : AckedSentAt_)
    SendTimes.push_back(Time);
  std::sort(SendTimes.rbegin(), SendTimes.rend());
  extend(SendTimes[Majority - 1]);
}

void InstanceLease::noteListed(TimePoint SentAt) { extend(SentAt); }

void InstanceLease::extend(TimePoint SentAt) {
  if (!IsRevoked_)
    ValidUntil_ = std::max(ValidUntil_, SentAt + LeaseDuration);
}

void InstanceLease::revoke() {
  IsRevoked_ = true;
  ValidUntil_ = TimePoint();
}

} // namespace gooseberry
