#include "support/SimulatedCluster.h"

#include <type_traits>

namespace gooseberry {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration MaxHoldTime = std::chrono::milliseconds(500);
constexpr Duration WorkDuration = std::chrono::milliseconds(600);
constexpr std::size_t SimulatedShardCount = 16;

std::string nameOf(std::size_t Index) { return "i" + std::to_string(Index); }

} // namespace

SimulatedCluster::SimulatedCluster(
    std::size_t Instances, std::uint64_t Seed,
    std::vector<SimulatedOrganisation> Organisations, LimitFault Fault)
    : Network_(Clock_, Seed), Random_(Seed),
      Organisations_(std::move(Organisations)), Fault_(Fault),
      States_(Instances), Admitted_(Organisations_.size()) {
  for (std::size_t I = 0; I < Instances; ++I) {
    States_[I].TableLink_ = std::make_unique<FakeTableLink>(Table_);
    start(I);
  }
}

MemberId SimulatedCluster::idOf(std::size_t Index) const {
  return {InstanceId{nameOf(Index)}, States_[Index].Incarnation_};
}

void SimulatedCluster::start(std::size_t Index) {
  InstanceState &Instance = States_[Index];
  ++Instance.Incarnation_;
  Instance.IsAlive_ = true;
  Instance.HeldWork_.clear();
  const MemberId Self = idOf(Index);
  Instance.Core_ = std::make_unique<MembershipCore>(
      MembershipSettings{Self,
                         "127.0.0.1:" + std::to_string(Index),
                         {},
                         SimulatedShardCount,
                         Random_()});
  Instance.Core_->setRevision(1);
  Instance.Ledger_ = std::make_unique<LimitLedger>(Self, Fault_);
  for (const SimulatedOrganisation &Each : Organisations_)
    Instance.Ledger_->setLimit(
        {Each.Name_}, {Each.Rate_ * MilliPerToken, Each.Burst_ * MilliPerToken},
        1, Clock_.now());
  const auto Offset = Duration(Random_() % TickInterval.count());
  Clock_.after(Offset, [this, Index, Incarnation = Instance.Incarnation_] {
    post(Index, Incarnation, [this, Index] { tick(Index); });
  });
}

void SimulatedCluster::presetEpoch() {
  EpochDocument Document;
  Document.Epoch_ = 1;
  for (std::size_t I = 0; I < States_.size(); ++I)
    Document.Members_.push_back(
        {idOf(I), "127.0.0.1:" + std::to_string(I), {}, 1});
  for (std::size_t I = 0; I < SimulatedShardCount; ++I)
    Document.Shards_.push_back({idOf(I % States_.size()), 1});
  Table_.put(std::string(EpochHeadKey), "1");
  Table_.put(std::string(EpochPrefix) + "00000000000000000001",
             formatEpochDocument(Document));
}

void SimulatedCluster::kill(std::size_t Index) {
  States_[Index].IsAlive_ = false;
  States_[Index].DeferredCallbacks_.clear();
}

void SimulatedCluster::pause(std::size_t Index, Duration Period) {
  States_[Index].PausedUntil_ = Clock_.now() + Period;
  Clock_.after(Period, [this, Index] {
    std::vector<std::function<void()>> Deferred;
    Deferred.swap(States_[Index].DeferredCallbacks_);
    for (const auto &Callback : Deferred)
      Callback();
  });
}

void SimulatedCluster::retire(std::size_t Index) {
  States_[Index].Core_->retire(Clock_.now());
  States_[Index].Ledger_->startReturning();
}

void SimulatedCluster::leave(std::size_t Index) {
  InstanceState &Instance = States_[Index];
  Instance.Ledger_->returnAll(Clock_.now());
  Instance.Ledger_->setLease(TimePoint());
  carryOut(Index);
  Instance.Core_->leave(Clock_.now());
  carryOut(Index);
}

void SimulatedCluster::setPartitioned(std::size_t Index, bool IsPartitioned) {
  for (std::size_t I = 0; I < States_.size(); ++I)
    if (I != Index)
      Network_.setCut(nameOf(Index), nameOf(I), IsPartitioned);
}

void SimulatedCluster::post(std::size_t Index, std::uint64_t Incarnation,
                            const std::function<void()> &Callback) {
  InstanceState &Instance = States_[Index];
  if (!Instance.IsAlive_ || Instance.Incarnation_ != Incarnation)
    return;
  if (Clock_.now() < Instance.PausedUntil_) {
    Instance.DeferredCallbacks_.push_back([this, Index, Incarnation, Callback] {
      post(Index, Incarnation, Callback);
    });
    return;
  }
  Callback();
}

void SimulatedCluster::tick(std::size_t Index) {
  InstanceState &Instance = States_[Index];
  const std::uint64_t Incarnation = Instance.Incarnation_;
  Instance.Core_->tick(Clock_.now());
  Instance.Ledger_->setLease(Instance.Core_->validUntil());
  Instance.Ledger_->tick(Clock_.now());
  carryOut(Index);
  Clock_.after(TickInterval, [this, Index, Incarnation] {
    post(Index, Incarnation, [this, Index] { tick(Index); });
  });
}

void SimulatedCluster::carryOut(std::size_t Index) {
  for (MembershipAction &Action : States_[Index].Core_->takeActions())
    carryOutMembership(Index, Action);
  InstanceState &Instance = States_[Index];
  Instance.Ledger_->setLease(Instance.Core_->validUntil());
  for (LimitAction &Action : Instance.Ledger_->takeActions(Clock_.now()))
    carryOutLimits(Index, Action);
}

template <typename Message>
void SimulatedCluster::sendTo(std::size_t Index, const MemberId &Recipient,
                              const Message &Payload) {
  std::size_t Target = 0;
  while (nameOf(Target) != Recipient.Name_.Value_)
    ++Target;
  const MemberId Sender = idOf(Index);
  const auto Deliver = [this, Target, Sender, Payload] {
    if constexpr (std::is_same_v<Message, LimitMessage>)
      States_[Target].Ledger_->receive(Sender, Payload, Clock_.now());
    else
      States_[Target].Core_->receive(Sender, Payload, Clock_.now());
    carryOut(Target);
  };
  Network_.send(nameOf(Index), nameOf(Target),
                [this, Target, Incarnation = Recipient.Incarnation_, Deliver] {
                  post(Target, Incarnation, Deliver);
                });
}

void SimulatedCluster::carryOutMembership(std::size_t Index,
                                          MembershipAction &Action) {
  InstanceState &Instance = States_[Index];
  const std::uint64_t Incarnation = Instance.Incarnation_;
  Table_.advanceTo(Clock_.now());
  if (auto *Read = std::get_if<ReadMembership>(&Action)) {
    const auto OnOutcome = [this, Index, Incarnation,
                            Token = Read->Token_](const ReadOutcome &Outcome) {
      post(Index, Incarnation, [this, Index, Token, Outcome] {
        States_[Index].Core_->noteRead(Token, Outcome, Clock_.now());
        carryOut(Index);
      });
    };
    Instance.TableLink_->read(std::move(Read->Query_), OnOutcome);
    scheduleTableEvents();
  } else if (auto *Write = std::get_if<WriteMembership>(&Action)) {
    const auto OnOutcome = [this, Index, Incarnation, Token = Write->Token_](
                               const TransactOutcome &Outcome) {
      post(Index, Incarnation, [this, Index, Token, Outcome] {
        States_[Index].Core_->noteTransact(Token, Outcome, Clock_.now());
        carryOut(Index);
      });
    };
    Instance.TableLink_->transact(std::move(Write->Transaction_), OnOutcome);
    scheduleTableEvents();
  } else if (auto *Send = std::get_if<SendMembershipMessage>(&Action)) {
    sendTo(Index, Send->Recipient_, Send->Message_);
  } else if (auto *Adopted = std::get_if<EpochAdopted>(&Action)) {
    Instance.Ledger_->adoptEpoch(Adopted->Document_, Clock_.now());
  } else if (auto *Gone = std::get_if<MemberGone>(&Action)) {
    Instance.Ledger_->noteMemberExpired(Gone->Id_, Clock_.now());
  } else {
    start(Index);
  }
}

void SimulatedCluster::carryOutLimits(std::size_t Index, LimitAction &Action) {
  InstanceState &Instance = States_[Index];
  if (auto *Send = std::get_if<SendLimitMessage>(&Action)) {
    sendTo(Index, Send->Recipient_, Send->Message_);
  } else if (auto *Granted = std::get_if<ReservationGranted>(&Action)) {
    admit(Index, Granted->Id_,
          Instance.HeldWork_.extract(Granted->Id_).mapped());
  } else if (auto *Refused = std::get_if<ReservationRefused>(&Action)) {
    Instance.HeldWork_.erase(Refused->Id_);
    countRefusal(Refused->Refused_.Reason_);
  }
}

void SimulatedCluster::scheduleTableEvents() {
  const std::optional<TimePoint> Due = Table_.nextDue();
  if (!Due)
    return;
  Clock_.after(std::max(Duration::zero(), *Due - Clock_.now()), [this] {
    Table_.advanceTo(Clock_.now());
    scheduleTableEvents();
  });
}

void SimulatedCluster::startLoad() {
  for (std::size_t I = 0; I < Organisations_.size(); ++I)
    request(I);
}

void SimulatedCluster::request(std::size_t Organisation) {
  const std::size_t Index = Random_() % States_.size();
  post(Index, States_[Index].Incarnation_,
       [this, Index, Organisation] { reserveAt(Index, Organisation); });
  std::exponential_distribution<double> Interval(
      Organisations_[Organisation].RequestsPerSecond_);
  const auto Wait =
      Duration(static_cast<std::int64_t>(Interval(Random_) * 1e6));
  Clock_.after(Wait, [this, Organisation] { request(Organisation); });
}

void SimulatedCluster::reserveAt(std::size_t Index, std::size_t Organisation) {
  const SimulatedOrganisation &Load = Organisations_[Organisation];
  const TimePoint Now = Clock_.now();
  const ReserveOutcome Outcome =
      ledger(Index).reserve({Load.Name_}, Load.Tokens_, Now, Now + MaxHoldTime);
  const Work Started{Organisation, Load.Used_};
  if (const auto *Taken = std::get_if<LimitReserved>(&Outcome))
    admit(Index, Taken->Id_, Started);
  else if (const auto *Held = std::get_if<LimitPending>(&Outcome))
    States_[Index].HeldWork_.emplace(Held->Id_, Started);
  else
    countRefusal(std::get<LimitRefused>(Outcome).Reason_);
  carryOut(Index);
}

void SimulatedCluster::admit(std::size_t Index, ReservationId Id,
                             const Work &Started) {
  Admitted_[Started.Organisation_].admit(Clock_.now(), Started.Used_);
  Clock_.after(WorkDuration, [this, Index, Id, Used = Started.Used_,
                              Incarnation = States_[Index].Incarnation_] {
    post(Index, Incarnation, [this, Index, Id, Used] {
      ledger(Index).settle(Id, Used, Clock_.now());
      carryOut(Index);
    });
  });
}

void SimulatedCluster::countRefusal(RefusalReason Reason) {
  if (Reason == RefusalReason::LeaseExpired)
    ++RefusedLease_;
  else
    ++RefusedRate_;
}

bool SimulatedCluster::isServing(std::size_t Index) const {
  const InstanceState &Instance = States_[Index];
  return Instance.IsAlive_ && Instance.Core_->isMember() &&
         Clock_.now() < Instance.Core_->validUntil();
}

std::size_t SimulatedCluster::servingCount() const {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < States_.size(); ++I)
    Count += isServing(I) ? 1 : 0;
  return Count;
}

double SimulatedCluster::worstExcess() const {
  double Worst = 0;
  for (std::size_t I = 0; I < Organisations_.size(); ++I)
    Worst = std::max(Worst, Admitted_[I].worstExcess(
                                {Organisations_[I].Rate_ * MilliPerToken,
                                 Organisations_[I].Burst_ * MilliPerToken}));
  return Worst;
}

std::int64_t SimulatedCluster::admitted() const {
  std::int64_t Sum = 0;
  for (const RateChecker &Each : Admitted_)
    Sum += Each.sum();
  return Sum;
}

} // namespace gooseberry
