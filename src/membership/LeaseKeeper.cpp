#include "gooseberrybeam/membership/LeaseKeeper.h"

#include "gooseberrybeam/membership/Witnesses.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr std::size_t RememberedHeartbeats = 8;

} // namespace

void LeaseKeeper::follow(Epoch Current, std::span<const MemberId> Witnesses) {
  Epoch_ = Current;
  Witnesses_.assign(Witnesses.begin(), Witnesses.end());
  AckedSince_.clear();
}

Heartbeat LeaseKeeper::makeHeartbeat(std::uint64_t Revision, TimePoint Now) {
  const std::uint64_t Number = NextNumber_++;
  SentAt_.emplace(Number, Now);
  while (SentAt_.size() > RememberedHeartbeats)
    SentAt_.erase(SentAt_.begin());
  return {Number, Epoch_, Revision};
}

void LeaseKeeper::noteAck(const MemberId &From, const HeartbeatAck &Ack,
                          std::uint64_t Revision) {
  const auto Sent = SentAt_.find(Ack.Number_);
  const bool Counts = Sent != SentAt_.end() && Ack.Epoch_ == Epoch_ &&
                      Ack.Revision_ <= Revision;
  if (!Counts ||
      std::find(Witnesses_.begin(), Witnesses_.end(), From) == Witnesses_.end())
    return;
  TimePoint &Since = AckedSince_[From];
  Since = std::max(Since, Sent->second);
  const std::size_t Needed = majorityOf(Witnesses_.size());
  if (AckedSince_.size() < Needed)
    return;
  std::vector<TimePoint> Times;
  Times.reserve(AckedSince_.size());
  for (const auto &[Id, Time] : AckedSince_)
    Times.push_back(Time);
  std::sort(Times.rbegin(), Times.rend());
  extend(Times[Needed - 1]);
}

void LeaseKeeper::noteListed(TimePoint SentAt) { extend(SentAt); }

void LeaseKeeper::extend(TimePoint SentAt) {
  if (!IsRevoked_)
    ValidUntil_ = std::max(ValidUntil_, SentAt + LeaseDuration);
}

void LeaseKeeper::revoke() {
  IsRevoked_ = true;
  ValidUntil_ = TimePoint();
}

} // namespace gooseberry
