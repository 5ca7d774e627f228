#include "support/LimitCluster.h"

namespace gooseberry {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration HoldLimit = std::chrono::milliseconds(500);
constexpr std::size_t TestShards = 16;

} // namespace

MemberId LimitCluster::memberId(std::size_t At) {
  return {InstanceId{"i" + std::to_string(At)}, 1};
}

LimitCluster::LimitCluster(std::size_t Instances, std::uint64_t Seed,
                           LimitFault Fault)
    : Network_(Clock_, Seed), Nodes_(Instances) {
  Document_.Epoch_ = 1;
  for (std::size_t I = 0; I < Instances; ++I) {
    Document_.Members_.push_back({memberId(I), "", {}, 1});
    Nodes_[I].Ledger_ = std::make_unique<LimitLedger>(memberId(I), Fault);
    Nodes_[I].Ledger_->setLease(TimePoint::max());
    Clock_.after(TickInterval * (I + 1) / Instances, [this, I] { tick(I); });
  }
  for (std::size_t S = 0; S < TestShards; ++S)
    Document_.Shards_.push_back({memberId(S % Instances), 1});
  publish();
}

void LimitCluster::publish() {
  for (std::size_t I = 0; I < Nodes_.size(); ++I)
    if (Nodes_[I].IsAlive_ && Document_.hasMember(memberId(I)))
      Nodes_[I].Ledger_->adoptEpoch(Document_, Clock_.now());
}

void LimitCluster::setLimit(const std::string &Name, std::int64_t Rate,
                            std::int64_t Burst) {
  const Limit Total{Rate * MilliPerToken, Burst * MilliPerToken};
  Limits_[Name] = Total;
  ++Revision_;
  for (Node &Each : Nodes_)
    Each.Ledger_->setLimit({Name}, Total, Revision_, Clock_.now());
}

void LimitCluster::request(std::size_t At, const std::string &Name,
                           std::int64_t Tokens, std::int64_t Used,
                           Duration Lasts) {
  const TimePoint Now = Clock_.now();
  const ReserveOutcome Outcome =
      ledger(At).reserve({Name}, Tokens, Now, Now + HoldLimit);
  const Outstanding Work{Name, Used, Lasts};
  if (const auto *Taken = std::get_if<LimitReserved>(&Outcome))
    admit(At, Taken->Id_, Work);
  else if (const auto *Held = std::get_if<LimitHeld>(&Outcome))
    Nodes_[At].Held_.emplace(Held->Id_, Work);
  else
    ++Refused_[Name];
  carryOut(At);
}

void LimitCluster::admit(std::size_t At, ReservationId Id,
                         const Outstanding &Work) {
  Admitted_[Work.Name_].admit(Clock_.now(), Work.Used_);
  Clock_.after(Work.Lasts_, [this, At, Id, Used = Work.Used_] {
    if (!Nodes_[At].IsAlive_)
      return;
    ledger(At).settle(Id, Used, Clock_.now());
    carryOut(At);
  });
}

void LimitCluster::tick(std::size_t At) {
  if (!Nodes_[At].IsAlive_)
    return;
  ledger(At).tick(Clock_.now());
  carryOut(At);
  Clock_.after(TickInterval, [this, At] { tick(At); });
}

void LimitCluster::carryOut(std::size_t At) {
  Node &Own = Nodes_[At];
  for (LimitAction &Action : Own.Ledger_->takeActions(Clock_.now())) {
    if (auto *Send = std::get_if<SendLimitMessage>(&Action)) {
      std::size_t To = 0;
      while (memberId(To) != Send->To_)
        ++To;
      Network_.send(memberId(At).Name_.Value_, Send->To_.Name_.Value_,
                    [this, At, To, Message = Send->Message_] {
                      deliver(At, To, Message);
                    });
    } else if (auto *Granted = std::get_if<ReservationGranted>(&Action)) {
      const auto Work = Own.Held_.extract(Granted->Id_);
      admit(At, Granted->Id_, Work.mapped());
    } else if (auto *Refused = std::get_if<ReservationRefused>(&Action)) {
      ++Refused_[Own.Held_.extract(Refused->Id_).mapped().Name_];
    }
  }
}

void LimitCluster::deliver(std::size_t From, std::size_t To,
                           const LimitMessage &Message) {
  if (!Nodes_[To].IsAlive_)
    return;
  ledger(To).receive(memberId(From), Message, Clock_.now());
  carryOut(To);
}

void LimitCluster::removeMember(std::size_t At) {
  ++Document_.Epoch_;
  const MemberId Removed = memberId(At);
  std::erase_if(Document_.Members_,
                [&](const EpochMember &Each) { return Each.Id_ == Removed; });
  Document_.Departed_.push_back({Removed, Document_.Epoch_});
  std::size_t Next = 0;
  for (ShardOwner &Shard : Document_.Shards_) {
    if (Shard.Owner_ != Removed)
      continue;
    const auto &Heir = Document_.Members_[Next++ % Document_.Members_.size()];
    Shard = {Heir.Id_, Document_.Epoch_};
  }
  publish();
}

void LimitCluster::noteGone(std::size_t At) {
  for (Node &Each : Nodes_)
    if (Each.IsAlive_)
      Each.Ledger_->noteGone(memberId(At), Clock_.now());
}

double LimitCluster::worstExcess(const std::string &Name) const {
  const auto Entry = Admitted_.find(Name);
  return Entry == Admitted_.end() ? 0
                                  : Entry->second.worstExcess(Limits_.at(Name));
}

std::int64_t LimitCluster::admitted(const std::string &Name) const {
  const auto Entry = Admitted_.find(Name);
  return Entry == Admitted_.end() ? 0 : Entry->second.sum();
}

int LimitCluster::refused(const std::string &Name) const {
  const auto Entry = Refused_.find(Name);
  return Entry == Refused_.end() ? 0 : Entry->second;
}

std::size_t LimitCluster::homeOf(const std::string &Name) const {
  const OrganisationKey Key = makeOrganisationKey({Name});
  const MemberId Owner = Document_.Shards_[Key % TestShards].Owner_;
  std::size_t At = 0;
  while (memberId(At) != Owner)
    ++At;
  return At;
}

} // namespace gooseberry
