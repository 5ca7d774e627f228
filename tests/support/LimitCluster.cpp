#include "support/LimitCluster.h"

namespace gooseberry {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration HoldLimit = std::chrono::milliseconds(500);
constexpr std::size_t TestShards = 16;

} // namespace

MemberId LimitCluster::memberId(std::size_t Index) {
  return {InstanceId{"i" + std::to_string(Index)}, 1};
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
  for (Node &Instance : Nodes_)
    Instance.Ledger_->setLimit({Name}, Total, Revision_, Clock_.now());
}

void LimitCluster::request(std::size_t Index, const std::string &Name,
                           std::int64_t Tokens, std::int64_t Used,
                           Duration Lifetime) {
  const TimePoint Now = Clock_.now();
  const ReserveOutcome Outcome =
      ledger(Index).reserve({Name}, Tokens, Now, Now + HoldLimit);
  const OutstandingRequest Request{Name, Used, Lifetime};
  if (const auto *Reserved = std::get_if<LimitReserved>(&Outcome))
    admit(Index, Reserved->Id_, Request);
  else if (const auto *Pending = std::get_if<LimitPending>(&Outcome))
    Nodes_[Index].Pending_.emplace(Pending->Id_, Request);
  else
    ++Refused_[Name];
  carryOut(Index);
}

void LimitCluster::admit(std::size_t Index, ReservationId Id,
                         const OutstandingRequest &Request) {
  Admitted_[Request.Name_].admit(Clock_.now(), Request.Used_);
  Clock_.after(Request.Lifetime_, [this, Index, Id, Used = Request.Used_] {
    if (!Nodes_[Index].IsAlive_)
      return;
    ledger(Index).settle(Id, Used, Clock_.now());
    carryOut(Index);
  });
}

void LimitCluster::tick(std::size_t Index) {
  if (!Nodes_[Index].IsAlive_)
    return;
  ledger(Index).tick(Clock_.now());
  carryOut(Index);
  Clock_.after(TickInterval, [this, Index] { tick(Index); });
}

void LimitCluster::carryOut(std::size_t Index) {
  Node &Source = Nodes_[Index];
  for (LimitAction &Action : Source.Ledger_->takeActions(Clock_.now())) {
    if (auto *Send = std::get_if<SendLimitMessage>(&Action)) {
      std::size_t Recipient = 0;
      while (memberId(Recipient) != Send->Recipient_)
        ++Recipient;
      Network_.send(memberId(Index).Name_.Value_, Send->Recipient_.Name_.Value_,
                    [this, Index, Recipient, Message = Send->Message_] {
                      deliver(Index, Recipient, Message);
                    });
    } else if (auto *Granted = std::get_if<ReservationGranted>(&Action)) {
      const auto Request = Source.Pending_.extract(Granted->Id_);
      admit(Index, Granted->Id_, Request.mapped());
    } else if (auto *Refused = std::get_if<ReservationRefused>(&Action)) {
      ++Refused_[Source.Pending_.extract(Refused->Id_).mapped().Name_];
    }
  }
}

void LimitCluster::deliver(std::size_t Sender, std::size_t Recipient,
                           const LimitMessage &Message) {
  if (!Nodes_[Recipient].IsAlive_)
    return;
  ledger(Recipient).receive(memberId(Sender), Message, Clock_.now());
  carryOut(Recipient);
}

void LimitCluster::removeMember(std::size_t Index) {
  ++Document_.Epoch_;
  const MemberId Removed = memberId(Index);
  std::erase_if(Document_.Members_, [&](const EpochMember &Member) {
    return Member.Id_ == Removed;
  });
  Document_.Departed_.push_back({Removed, Document_.Epoch_});
  std::size_t Next = 0;
  for (ShardOwner &Shard : Document_.Shards_) {
    if (Shard.Owner_ != Removed)
      continue;
    const auto &Successor =
        Document_.Members_[Next++ % Document_.Members_.size()];
    Shard = {Successor.Id_, Document_.Epoch_};
  }
  publish();
}

void LimitCluster::noteMemberExpired(std::size_t Index) {
  for (Node &Instance : Nodes_)
    if (Instance.IsAlive_)
      Instance.Ledger_->noteMemberExpired(memberId(Index), Clock_.now());
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
  std::size_t Index = 0;
  while (memberId(Index) != Owner)
    ++Index;
  return Index;
}

} // namespace gooseberry
