#include "support/ClusterWorld.h"

#include <type_traits>

namespace gooseberry {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration HoldLimit = std::chrono::milliseconds(500);
constexpr Duration WorkLasts = std::chrono::milliseconds(600);
constexpr std::size_t WorldShards = 16;

std::string nameOf(std::size_t At) { return "i" + std::to_string(At); }

} // namespace

ClusterWorld::ClusterWorld(std::size_t Instances, std::uint64_t Seed,
                           std::vector<WorldOrganisation> Organisations,
                           LimitFault Fault)
    : Network_(Clock_, Seed), Random_(Seed),
      Organisations_(std::move(Organisations)), Fault_(Fault),
      Nodes_(Instances), Admitted_(Organisations_.size()) {
  for (std::size_t I = 0; I < Instances; ++I) {
    Nodes_[I].Way_ = std::make_unique<FakeTableLink>(Table_);
    start(I);
  }
}

MemberId ClusterWorld::idOf(std::size_t At) const {
  return {InstanceId{nameOf(At)}, Nodes_[At].Incarnation_};
}

void ClusterWorld::start(std::size_t At) {
  Node &Own = Nodes_[At];
  ++Own.Incarnation_;
  Own.IsAlive_ = true;
  Own.Held_.clear();
  const MemberId Self = idOf(At);
  Own.Core_ = std::make_unique<MembershipCore>(MembershipSettings{
      Self, "127.0.0.1:" + std::to_string(At), {}, WorldShards, Random_()});
  Own.Core_->setRevision(1);
  Own.Ledger_ = std::make_unique<LimitLedger>(Self, Fault_);
  for (const WorldOrganisation &Each : Organisations_)
    Own.Ledger_->setLimit(
        {Each.Name_}, {Each.Rate_ * MilliPerToken, Each.Burst_ * MilliPerToken},
        1, Clock_.now());
  const auto Offset = Duration(Random_() % TickInterval.count());
  Clock_.after(Offset, [this, At, Incarnation = Own.Incarnation_] {
    post(At, Incarnation, [this, At] { tick(At); });
  });
}

void ClusterWorld::presetEpoch() {
  EpochDocument Document;
  Document.Epoch_ = 1;
  for (std::size_t I = 0; I < Nodes_.size(); ++I)
    Document.Members_.push_back(
        {idOf(I), "127.0.0.1:" + std::to_string(I), {}, 1});
  for (std::size_t I = 0; I < WorldShards; ++I)
    Document.Shards_.push_back({idOf(I % Nodes_.size()), 1});
  Table_.put(std::string(EpochHeadKey), "1");
  Table_.put(std::string(EpochPrefix) + "00000000000000000001",
             formatEpochDocument(Document));
}

void ClusterWorld::kill(std::size_t At) {
  Nodes_[At].IsAlive_ = false;
  Nodes_[At].Inbox_.clear();
}

void ClusterWorld::pause(std::size_t At, Duration For) {
  Nodes_[At].PausedUntil_ = Clock_.now() + For;
  Clock_.after(For, [this, At] {
    std::vector<std::function<void()>> Waiting;
    Waiting.swap(Nodes_[At].Inbox_);
    for (const auto &Run : Waiting)
      Run();
  });
}

void ClusterWorld::retire(std::size_t At) {
  Nodes_[At].Core_->retire(Clock_.now());
  Nodes_[At].Ledger_->startReturning();
}

void ClusterWorld::leave(std::size_t At) {
  Node &Own = Nodes_[At];
  Own.Ledger_->returnAll(Clock_.now());
  Own.Ledger_->setLease(TimePoint());
  carryOut(At);
  Own.Core_->leave(Clock_.now());
  carryOut(At);
}

void ClusterWorld::setCutOff(std::size_t At, bool IsCut) {
  for (std::size_t I = 0; I < Nodes_.size(); ++I)
    if (I != At)
      Network_.setCut(nameOf(At), nameOf(I), IsCut);
}

void ClusterWorld::post(std::size_t At, std::uint64_t Incarnation,
                        const std::function<void()> &Run) {
  Node &Own = Nodes_[At];
  if (!Own.IsAlive_ || Own.Incarnation_ != Incarnation)
    return;
  if (Clock_.now() < Own.PausedUntil_) {
    Own.Inbox_.push_back(
        [this, At, Incarnation, Run] { post(At, Incarnation, Run); });
    return;
  }
  Run();
}

void ClusterWorld::tick(std::size_t At) {
  Node &Own = Nodes_[At];
  const std::uint64_t Incarnation = Own.Incarnation_;
  Own.Core_->tick(Clock_.now());
  Own.Ledger_->setLease(Own.Core_->validUntil());
  Own.Ledger_->tick(Clock_.now());
  carryOut(At);
  Clock_.after(TickInterval, [this, At, Incarnation] {
    post(At, Incarnation, [this, At] { tick(At); });
  });
}

void ClusterWorld::carryOut(std::size_t At) {
  for (MembershipAction &Action : Nodes_[At].Core_->takeActions())
    carryOutMembership(At, Action);
  Node &Own = Nodes_[At];
  Own.Ledger_->setLease(Own.Core_->validUntil());
  for (LimitAction &Action : Own.Ledger_->takeActions(Clock_.now()))
    carryOutLimits(At, Action);
}

template <typename Message>
void ClusterWorld::sendTo(std::size_t At, const MemberId &To,
                          const Message &Sent) {
  std::size_t Target = 0;
  while (nameOf(Target) != To.Name_.Value_)
    ++Target;
  const MemberId From = idOf(At);
  const auto Deliver = [this, Target, From, Sent] {
    if constexpr (std::is_same_v<Message, LimitMessage>)
      Nodes_[Target].Ledger_->receive(From, Sent, Clock_.now());
    else
      Nodes_[Target].Core_->receive(From, Sent, Clock_.now());
    carryOut(Target);
  };
  Network_.send(nameOf(At), nameOf(Target),
                [this, Target, Incarnation = To.Incarnation_, Deliver] {
                  post(Target, Incarnation, Deliver);
                });
}

void ClusterWorld::carryOutMembership(std::size_t At,
                                      MembershipAction &Action) {
  Node &Own = Nodes_[At];
  const std::uint64_t Incarnation = Own.Incarnation_;
  Table_.advanceTo(Clock_.now());
  if (auto *Read = std::get_if<ReadMembership>(&Action)) {
    const auto Answer = [this, At, Incarnation,
                         Token = Read->Token_](const ReadOutcome &Outcome) {
      post(At, Incarnation, [this, At, Token, Outcome] {
        Nodes_[At].Core_->noteRead(Token, Outcome, Clock_.now());
        carryOut(At);
      });
    };
    Own.Way_->read(std::move(Read->Query_), Answer);
    pumpTable();
  } else if (auto *Write = std::get_if<WriteMembership>(&Action)) {
    const auto Answer = [this, At, Incarnation, Token = Write->Token_](
                            const TransactOutcome &Outcome) {
      post(At, Incarnation, [this, At, Token, Outcome] {
        Nodes_[At].Core_->noteTransact(Token, Outcome, Clock_.now());
        carryOut(At);
      });
    };
    Own.Way_->transact(std::move(Write->Transaction_), Answer);
    pumpTable();
  } else if (auto *Send = std::get_if<SendMembershipMessage>(&Action)) {
    sendTo(At, Send->To_, Send->Message_);
  } else if (auto *Adopted = std::get_if<EpochAdopted>(&Action)) {
    Own.Ledger_->adoptEpoch(Adopted->Document_, Clock_.now());
  } else if (auto *Gone = std::get_if<MemberGone>(&Action)) {
    Own.Ledger_->noteMemberExpired(Gone->Id_, Clock_.now());
  } else {
    start(At);
  }
}

void ClusterWorld::carryOutLimits(std::size_t At, LimitAction &Action) {
  Node &Own = Nodes_[At];
  if (auto *Send = std::get_if<SendLimitMessage>(&Action)) {
    sendTo(At, Send->Recipient_, Send->Message_);
  } else if (auto *Granted = std::get_if<ReservationGranted>(&Action)) {
    admit(At, Granted->Id_, Own.Held_.extract(Granted->Id_).mapped());
  } else if (auto *Refused = std::get_if<ReservationRefused>(&Action)) {
    Own.Held_.erase(Refused->Id_);
    noteRefused(Refused->Refused_.Reason_);
  }
}

void ClusterWorld::pumpTable() {
  const std::optional<TimePoint> Due = Table_.nextDue();
  if (!Due)
    return;
  Clock_.after(std::max(Duration::zero(), *Due - Clock_.now()), [this] {
    Table_.advanceTo(Clock_.now());
    pumpTable();
  });
}

void ClusterWorld::startLoad() {
  for (std::size_t I = 0; I < Organisations_.size(); ++I)
    request(I);
}

void ClusterWorld::request(std::size_t Organisation) {
  const std::size_t At = Random_() % Nodes_.size();
  post(At, Nodes_[At].Incarnation_,
       [this, At, Organisation] { reserveAt(At, Organisation); });
  std::exponential_distribution<double> Gap(
      Organisations_[Organisation].RequestsPerSecond_);
  const auto Wait = Duration(static_cast<std::int64_t>(Gap(Random_) * 1e6));
  Clock_.after(Wait, [this, Organisation] { request(Organisation); });
}

void ClusterWorld::reserveAt(std::size_t At, std::size_t Organisation) {
  const WorldOrganisation &Of = Organisations_[Organisation];
  const TimePoint Now = Clock_.now();
  const ReserveOutcome Outcome =
      ledger(At).reserve({Of.Name_}, Of.Tokens_, Now, Now + HoldLimit);
  const Work Started{Organisation, Of.Used_};
  if (const auto *Taken = std::get_if<LimitReserved>(&Outcome))
    admit(At, Taken->Id_, Started);
  else if (const auto *Held = std::get_if<LimitPending>(&Outcome))
    Nodes_[At].Held_.emplace(Held->Id_, Started);
  else
    noteRefused(std::get<LimitRefused>(Outcome).Reason_);
  carryOut(At);
}

void ClusterWorld::admit(std::size_t At, ReservationId Id, const Work &Of) {
  Admitted_[Of.Organisation_].admit(Clock_.now(), Of.Used_);
  Clock_.after(WorkLasts, [this, At, Id, Used = Of.Used_,
                           Incarnation = Nodes_[At].Incarnation_] {
    post(At, Incarnation, [this, At, Id, Used] {
      ledger(At).settle(Id, Used, Clock_.now());
      carryOut(At);
    });
  });
}

void ClusterWorld::noteRefused(RefusalReason Reason) {
  if (Reason == RefusalReason::LeaseExpired)
    ++RefusedLease_;
  else
    ++RefusedRate_;
}

bool ClusterWorld::isServing(std::size_t At) const {
  const Node &Own = Nodes_[At];
  return Own.IsAlive_ && Own.Core_->isMember() &&
         Clock_.now() < Own.Core_->validUntil();
}

std::size_t ClusterWorld::servingCount() const {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < Nodes_.size(); ++I)
    Count += isServing(I) ? 1 : 0;
  return Count;
}

double ClusterWorld::worstExcess() const {
  double Worst = 0;
  for (std::size_t I = 0; I < Organisations_.size(); ++I)
    Worst = std::max(Worst, Admitted_[I].worstExcess(
                                {Organisations_[I].Rate_ * MilliPerToken,
                                 Organisations_[I].Burst_ * MilliPerToken}));
  return Worst;
}

std::int64_t ClusterWorld::admitted() const {
  std::int64_t Sum = 0;
  for (const RateChecker &Each : Admitted_)
    Sum += Each.sum();
  return Sum;
}

} // namespace gooseberry
