#include "gooseberrybeam/daemon/ClusterDesk.h"

#include "gooseberrybeam/daemon/Incarnation.h"
#include "gooseberrybeam/leases/KvHolding.h"
#include "gooseberrybeam/log/Log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberry {
namespace {

MilliTokens asMilliTokens(double Tokens) {
  return static_cast<MilliTokens>(
      std::llround(Tokens * static_cast<double>(MilliPerToken)));
}

std::string holderText(const MemberId &Id) { return asText(Id); }

} // namespace

ClusterDesk::ClusterDesk(DaemonState &State, TableClient &Table,
                         MembershipSettings Settings)
    : State_(State), Table_(Table), Settings_(std::move(Settings)),
      Membership_(std::make_unique<MembershipCore>(Settings_)),
      Limits_(std::make_unique<LimitLedger>(Settings_.Self_)) {}

void ClusterDesk::tick() {
  const TimePoint Now = readBootClock();
  followConfiguration();
  Membership_->tick(Now);
  Limits_->setLease(Membership_->validUntil());
  Limits_->tick(Now);
  carryOut();
}

void ClusterDesk::receive(const MemberId &From,
                          const MembershipMessage &Message) {
  Membership_->receive(From, Message, readBootClock());
  carryOut();
}

void ClusterDesk::receive(const MemberId &From, const LimitMessage &Message) {
  Limits_->receive(From, Message, readBootClock());
  carryOut();
}

void ClusterDesk::notePlatformGone(const InstanceId &Name) {
  Membership_->notePlatformGone(Name);
  carryOut();
}

void ClusterDesk::reserve(const OrganisationId &Organisation,
                          std::int64_t Tokens, TimePoint HoldUntil,
                          ReserveTicket Ticket, ReserveHandler Handler) {
  const ReserveOutcome Outcome =
      Limits_->reserve(Organisation, Tokens, readBootClock(), HoldUntil);
  if (const auto *Reserved = std::get_if<LimitReserved>(&Outcome))
    Handler(ReservationRef{Identity_, Reserved->Id_});
  else if (const auto *Refused = std::get_if<LimitRefused>(&Outcome))
    Handler(*Refused);
  else
    Held_.emplace(std::get<LimitPending>(Outcome).Id_,
                  HeldReservation{Ticket, std::move(Handler)});
  carryOut();
}

void ClusterDesk::withdraw(ReserveTicket Ticket) {
  const auto Found =
      std::find_if(Held_.begin(), Held_.end(), [&](const auto &Each) {
        return Each.second.Ticket_ == Ticket;
      });
  if (Found == Held_.end())
    return;
  const ReservationId Id = Found->first;
  Limits_->settle(Id, 0, readBootClock());
  answer(Id, LimitRefused{RefusalReason::ClientGone, std::nullopt});
  carryOut();
}

void ClusterDesk::settle(const ReservationRef &Ref, std::int64_t Used) {
  if (Ref.Identity_ != Identity_)
    return;
  Limits_->settle(Ref.Id_, Used, readBootClock());
  carryOut();
}

void ClusterDesk::retire() {
  Membership_->retire(readBootClock());
  Limits_->startReturning();
}

void ClusterDesk::leave() {
  if (std::exchange(IsLeaving_, true))
    return;
  const TimePoint Now = readBootClock();
  Limits_->returnAll(Now);
  Limits_->tick(Now);
  carryOut();
  Membership_->leave(Now);
  carryOut();
}

// The limits are set before a new configuration's revision is named to others.
void ClusterDesk::followConfiguration() {
  auto Newest = State_.Configuration_.read();
  if (Newest->revision() == Configuration_->revision())
    return;
  const TimePoint Now = readBootClock();
  Configuration_->forEachOrganisation([&](const Organisation &Each) {
    if (!Newest->findOrganisation(Each.Name_.Value_))
      Limits_->setLimit(Each.Name_, Limit(), Newest->revision(), Now);
  });
  Newest->forEachOrganisation([&](const Organisation &Each) {
    const Limit Total = {asMilliTokens(Each.RateTokensPerSecond_),
                         asMilliTokens(Each.BurstTokens_)};
    Limits_->setLimit(Each.Name_, Total, Newest->revision(), Now);
  });
  Membership_->setRevision(Newest->revision());
  Configuration_ = std::move(Newest);
}

void ClusterDesk::publishLease() {
  State_.setLease(Membership_->validUntil());
  Limits_->setLease(Membership_->validUntil());
}

// Handlers may call back into the desk; their actions are then carried out by
// the outer call.
void ClusterDesk::carryOut() {
  if (std::exchange(IsCarryingOut_, true))
    return;
  carryOutMembership();
  publishLease();
  carryOutLimits();
  IsCarryingOut_ = false;
}

void ClusterDesk::carryOutMembership() {
  for (auto &Action : Membership_->takeActions())
    std::visit([this](auto &Each) { perform(Each); }, Action);
}

void ClusterDesk::carryOutLimits() {
  for (auto &Action : Limits_->takeActions(readBootClock()))
    std::visit([this](auto &Each) { perform(Each); }, Action);
}

void ClusterDesk::perform(ReadMembership &Action) {
  const auto Handler = [this, Identity = Identity_,
                        Token = Action.Token_](const ReadOutcome &Outcome) {
    if (Identity != Identity_)
      return;
    Membership_->noteRead(Token, Outcome, readBootClock());
    carryOut();
  };
  Table_.read(std::move(Action.Query_), Handler);
}

void ClusterDesk::perform(WriteMembership &Action) {
  const auto Handler = [this, Identity = Identity_,
                        Token = Action.Token_](const TransactOutcome &Outcome) {
    if (Identity != Identity_)
      return;
    Membership_->noteTransact(Token, Outcome, readBootClock());
    carryOut();
  };
  Table_.transact(std::move(Action.Transaction_), Handler);
}

void ClusterDesk::perform(SendMembershipMessage &Action) {
  if (Senders_.Membership_)
    Senders_.Membership_(Action.Recipient_, Action.Message_);
}

void ClusterDesk::perform(EpochAdopted &Action) {
  logLine(LogPart::Membership, LogLevel::Info, "Epoch adopted.",
          {{"epoch", std::to_string(Action.Document_.Epoch_)},
           {"members", std::to_string(Action.Document_.Members_.size())}});
  if (Action.Document_.hasMember(Settings_.Self_))
    Limits_->adoptEpoch(Action.Document_, readBootClock());
  if (Listeners_.OnEpoch_)
    Listeners_.OnEpoch_(Action.Document_);
}

void ClusterDesk::perform(MemberGone &Action) {
  logLine(LogPart::Membership, LogLevel::Info, "Member is gone.",
          {{"instance", Action.Id_.Name_.Value_}});
  Limits_->noteMemberExpired(Action.Id_, readBootClock());
  auto Next = std::make_shared<GoneHolders>(*State_.Gone_.read());
  Next->Holders_.insert(holderText(Action.Id_));
  State_.Gone_.publish(std::move(Next));
  if (Listeners_.OnGone_)
    Listeners_.OnGone_(Action.Id_);
}

// What the old identity holds is reclaimed by the others, so nothing of it may
// be used: a new core, a new ledger and a new holder begin from nothing.
void ClusterDesk::perform(SelfRemoved &) {
  logLine(LogPart::Membership, LogLevel::Warn,
          "This instance was removed and joins anew.", {});
  State_.setLease(TimePoint());
  if (IsLeaving_)
    return;
  Settings_.Self_.Incarnation_ = makeIncarnation(Settings_.Self_.Incarnation_);
  ++Identity_;
  auto Held = std::exchange(Held_, {});
  const ReserveAnswer Lapsed = LimitRefused{RefusalReason::LeaseExpired, {}};
  for (auto &[Id, Each] : Held)
    Each.Handler_(Lapsed);
  Membership_ = std::make_unique<MembershipCore>(Settings_);
  Limits_ = std::make_unique<LimitLedger>(Settings_.Self_);
  Configuration_ = std::make_shared<const Configuration>();
  if (Listeners_.OnRejoin_)
    Listeners_.OnRejoin_(Settings_.Self_);
}

void ClusterDesk::perform(ReservationGranted &Action) {
  answer(Action.Id_, ReservationRef{Identity_, Action.Id_});
}

void ClusterDesk::perform(ReservationRefused &Action) {
  answer(Action.Id_, Action.Refused_);
}

void ClusterDesk::perform(SendLimitMessage &Action) {
  if (Senders_.Limits_)
    Senders_.Limits_(Action.Recipient_, Action.Message_);
}

void ClusterDesk::answer(ReservationId Id, const ReserveAnswer &Answer) {
  const auto Found = Held_.find(Id);
  if (Found == Held_.end())
    return;
  const ReserveHandler Handler = std::move(Found->second.Handler_);
  Held_.erase(Found);
  Handler(Answer);
}

} // namespace gooseberry
