#include "ConfigCluster.h"

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/ConfigDiff.h"
#include "gooseberrybeam/config/ConfigRows.h"

namespace gooseberry {
namespace {

/// Time within which an accepted change has to be active on every instance.
constexpr Duration ActivationBound = std::chrono::seconds(10);

InstanceId nameOf(std::size_t Index) {
  return {"instance" + std::to_string(Index)};
}

std::size_t indexOf(const InstanceId &Name) {
  return std::stoul(Name.Value_.substr(8));
}

std::optional<Revision> acceptedRevision(const CommandRecord &Record) {
  if (!Record.Outcome_)
    return std::nullopt;
  const auto *Accepted = std::get_if<ChangeAccepted>(&*Record.Outcome_);
  return Accepted ? std::optional<Revision>(Accepted->Revision_) : std::nullopt;
}

bool isRejected(const CommandRecord &Record) {
  return Record.Outcome_ &&
         (std::holds_alternative<ChangeConflict>(*Record.Outcome_) ||
          std::holds_alternative<ChangeInvalid>(*Record.Outcome_) ||
          std::holds_alternative<ChangeNotApplied>(*Record.Outcome_));
}

} // namespace

ConfigCluster::ConfigCluster(std::size_t Count, std::uint32_t Seed,
                             ConfigFlaw Flaw)
    : Flaw_(Flaw), Random_(Seed) {
  for (std::size_t I = 0; I < Count; ++I)
    Instances_.push_back(std::make_unique<InstanceState>(Table_));
  for (std::size_t I = 0; I < Count; ++I)
    start(I);
}

void ConfigCluster::run(Duration Time) {
  const TimePoint End = Now_ + Time;
  while (Now_ < End) {
    Now_ += Step;
    Table_.advanceTo(Now_);
    deliver();
    for (std::size_t I = 0; I < Instances_.size(); ++I)
      if (!Instances_[I]->IsPaused_)
        performAll(I, Instances_[I]->Node_->onTick(Now_));
  }
}

std::size_t ConfigCluster::submit(std::size_t Instance, std::string IntentId,
                                  ChangeCommand Command) {
  ConfigOperationId OperationId = FollowerOperationId;
  const std::size_t Record = Commands_.size();
  Commands_.push_back({std::move(IntentId), Command, std::nullopt, {}});
  ConfigActions Actions = Instances_[Instance]->Node_->onCommand(
      std::move(Command), Now_, OperationId);
  PendingCommands_[{Instance, Instances_[Instance]->Incarnation_,
                    OperationId}] = Record;
  performAll(Instance, std::move(Actions));
  return Record;
}

void ConfigCluster::replace(std::size_t Instance) {
  ++Instances_[Instance]->Incarnation_;
  Instances_[Instance]->FirstConfiguration_.reset();
  Instances_[Instance]->IsPaused_ = false;
  Instances_[Instance]->Deferred_.clear();
  start(Instance);
}

void ConfigCluster::setPaused(std::size_t Instance, bool IsPaused) {
  Instances_[Instance]->IsPaused_ = IsPaused;
  if (IsPaused)
    return;
  const auto Deferred = std::exchange(Instances_[Instance]->Deferred_, {});
  for (const auto &Callback : Deferred)
    Callback();
}

void ConfigCluster::setIsolated(std::size_t Instance, bool IsIsolated) {
  Instances_[Instance]->IsIsolated_ = IsIsolated;
}

std::vector<std::string>
ConfigCluster::findFaults(const std::set<std::size_t> &Reachable) {
  std::vector<std::string> Faults;
  checkLog(Faults);
  checkMonotonicity(Faults);
  checkActivation(Reachable, Faults);
  checkContents(Faults);
  return Faults;
}

void ConfigCluster::start(std::size_t Index) {
  InstanceState &Started = *Instances_[Index];
  const auto Seed = static_cast<std::uint32_t>(Random_());
  Started.Node_ = std::make_unique<ConfigNode>(nameOf(Index), Seed);
  Started.Node_->setMembers(members(Index));
}

void ConfigCluster::performAll(std::size_t Index, ConfigActions Actions) {
  for (ConfigAction &Action : Actions)
    std::visit(
        [this, Index](auto &Alternative) { perform(Index, Alternative); },
        Action);
}

void ConfigCluster::perform(std::size_t Index, ReadTable &Read) {
  const int Incarnation = Instances_[Index]->Incarnation_;
  Instances_[Index]->Link_.read(
      std::move(Read.Query_),
      [=, this, OperationId = Read.OperationId_](const ReadOutcome &Outcome) {
        runOrDefer(Index, Incarnation, [=, this] {
          performAll(Index, Instances_[Index]->Node_->onTableRead(
                                OperationId, Outcome, Now_));
        });
      });
}

void ConfigCluster::perform(std::size_t Index, TransactTable &Transact) {
  const int Incarnation = Instances_[Index]->Incarnation_;
  Instances_[Index]->Link_.transact(
      std::move(Transact.Transaction_),
      [=, this,
       OperationId = Transact.OperationId_](const TransactOutcome &Outcome) {
        runOrDefer(Index, Incarnation, [=, this] {
          performAll(Index, Instances_[Index]->Node_->onTransact(
                                OperationId, Outcome, Now_));
        });
      });
}

void ConfigCluster::perform(std::size_t Index, SendConfigMessage &Send) {
  send(Index, Send.Recipient_, std::move(Send.Message_));
}

void ConfigCluster::perform(std::size_t Index, PublishConfiguration &Publish) {
  InstanceState &Instance = *Instances_[Index];
  if (!Instance.FirstConfiguration_)
    Instance.FirstConfiguration_ = Publish.Configuration_;
  Published_.push_back(
      {Index, Instance.Incarnation_, Now_, Publish.Configuration_->revision()});
  if (Flaw_ == ConfigFlaw::RepublishesOld &&
      Publish.Configuration_ != Instance.FirstConfiguration_)
    Published_.push_back({Index, Instance.Incarnation_, Now_,
                          Instance.FirstConfiguration_->revision()});
}

void ConfigCluster::perform(std::size_t Index, AnswerCommand &Answer) {
  answer(Index, Answer);
}

void ConfigCluster::runOrDefer(std::size_t Index, int Incarnation,
                               std::function<void()> Callback) {
  InstanceState &Recipient = *Instances_[Index];
  if (Recipient.Incarnation_ != Incarnation)
    return;
  if (Recipient.IsPaused_)
    Recipient.Deferred_.push_back(std::move(Callback));
  else
    Callback();
}

void ConfigCluster::send(std::size_t Sender, const InstanceId &Recipient,
                         ConfigMessage Message) {
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::uniform_int_distribution<int> Milliseconds(1, 60);
  const TimePoint DeliveryTime =
      Now_ + std::chrono::milliseconds(Milliseconds(Random_));
  if (Uniform(Random_) < LossProbability_)
    return;
  QueuedMessages_.emplace(DeliveryTime,
                          QueuedMessage{Sender, indexOf(Recipient), Message});
  if (Uniform(Random_) < LossProbability_)
    QueuedMessages_.emplace(
        DeliveryTime + std::chrono::milliseconds(Milliseconds(Random_)),
        QueuedMessage{Sender, indexOf(Recipient), std::move(Message)});
}

void ConfigCluster::deliver() {
  while (!QueuedMessages_.empty() && QueuedMessages_.begin()->first <= Now_) {
    const QueuedMessage Next =
        std::move(QueuedMessages_.extract(QueuedMessages_.begin()).mapped());
    InstanceState &Recipient = *Instances_[Next.Recipient_];
    if (Recipient.IsPaused_ || Recipient.IsIsolated_ ||
        Instances_[Next.Sender_]->IsIsolated_)
      continue;
    const auto Parsed = parseConfigMessage(encodeConfigMessage(Next.Message_));
    if (Parsed)
      performAll(Next.Recipient_, Recipient.Node_->onPeerMessage(
                                      nameOf(Next.Sender_), *Parsed, Now_));
  }
}

void ConfigCluster::answer(std::size_t Index, const AnswerCommand &Answer) {
  const auto Found = PendingCommands_.find(
      {Index, Instances_[Index]->Incarnation_, Answer.OperationId_});
  if (Found == PendingCommands_.end()) {
    // Answered within onCommand, before the operation ID was recorded.
    Commands_.back().Outcome_ = Answer.Outcome_;
    Commands_.back().AnsweredAt_ = Now_;
    return;
  }
  const std::size_t Record = Found->second;
  PendingCommands_.erase(Found);
  Commands_[Record].Outcome_ = Answer.Outcome_;
  Commands_[Record].AnsweredAt_ = Now_;
  if (Flaw_ != ConfigFlaw::RepeatsWithNewToken ||
      !std::holds_alternative<ChangeUnknown>(Answer.Outcome_))
    return;
  ChangeCommand Retry = Commands_[Record].Command_;
  Retry.Token_ += "+";
  Retry.BaseRevision_.reset();
  submit(Index, Commands_[Record].IntentId_, std::move(Retry));
}

void ConfigCluster::checkLog(std::vector<std::string> &Faults) {
  std::map<std::string, std::string> IntentOf;
  for (const CommandRecord &Record : Commands_)
    IntentOf[Record.Command_.Token_] = Record.IntentId_;
  std::map<std::string, Revision> RevisionOf;
  Revision Last = NoRevision;
  for (const auto &[Key, Row] : Table_.rows()) {
    const std::vector<TableRow> SingleRow = {Row};
    for (const ConfigLogEntry &Entry : parseLogRows(SingleRow)) {
      if (Entry.Revision_ != Last + 1)
        Faults.push_back("gap in the log before row " + Key);
      Last = Entry.Revision_;
      if (!RevisionOf.try_emplace(IntentOf[Entry.Token_], Last).second)
        Faults.push_back("two revisions for request " + IntentOf[Entry.Token_]);
    }
  }
  std::set<std::string> PossiblyCommitted;
  for (const CommandRecord &Record : Commands_) {
    const auto Found = RevisionOf.find(Record.IntentId_);
    const bool IsLogged = Found != RevisionOf.end();
    if (!isRejected(Record))
      PossiblyCommitted.insert(Record.IntentId_);
    if (isRejected(Record) && IsLogged &&
        !PossiblyCommitted.contains(Record.IntentId_))
      Faults.push_back("rejected command is in the log: " + Record.IntentId_);
    const auto Accepted = acceptedRevision(Record);
    if (Accepted && (!IsLogged || Found->second != *Accepted))
      Faults.push_back("accepted command is not in the log: " +
                       Record.IntentId_);
    if (Accepted && Record.Command_.IsStrict_ &&
        *Accepted != *Record.Command_.BaseRevision_ + 1)
      Faults.push_back("strict command was committed after another change: " +
                       Record.IntentId_);
  }
}

void ConfigCluster::checkMonotonicity(std::vector<std::string> &Faults) const {
  std::map<std::pair<std::size_t, int>, Revision> Last;
  for (const PublishedEvent &Event : Published_) {
    const auto [Previous, IsFirst] = Last.try_emplace(
        {Event.Instance_, Event.Incarnation_}, Event.Revision_);
    if (!IsFirst && Event.Revision_ <= Previous->second)
      Faults.push_back("active revision decreased on instance " +
                       std::to_string(Event.Instance_));
    Previous->second = Event.Revision_;
  }
}

void ConfigCluster::checkActivation(const std::set<std::size_t> &Reachable,
                                    std::vector<std::string> &Faults) const {
  for (const CommandRecord &Record : Commands_) {
    const auto Accepted = acceptedRevision(Record);
    if (!Accepted || Now_ < Record.AnsweredAt_ + ActivationBound)
      continue;
    for (const std::size_t Instance : Reachable) {
      const bool IsActive = std::any_of(
          Published_.begin(), Published_.end(),
          [&](const PublishedEvent &Event) {
            return Event.Instance_ == Instance &&
                   Event.Revision_ >= *Accepted &&
                   Event.Incarnation_ <= Instances_[Instance]->Incarnation_ &&
                   Event.Time_ <= Record.AnsweredAt_ + ActivationBound;
          });
      if (!IsActive)
        Faults.push_back("revision " + std::to_string(*Accepted) +
                         " was not active in time on instance " +
                         std::to_string(Instance));
    }
  }
}

void ConfigCluster::checkContents(std::vector<std::string> &Faults) {
  std::map<Revision, Configuration> ByRevision;
  ByRevision[NoRevision] = Configuration();
  Configuration Current;
  for (const auto &[Key, Row] : Table_.rows()) {
    const std::vector<TableRow> SingleRow = {Row};
    for (const ConfigLogEntry &Entry : parseLogRows(SingleRow)) {
      Current = Current.withChanges(Entry.Delta_, Entry.Revision_);
      ByRevision[Entry.Revision_] = Current;
    }
  }
  for (std::size_t I = 0; I < Instances_.size(); ++I) {
    const Configuration &Active =
        *Instances_[I]->Node_->follower().configuration();
    const auto Expected = ByRevision.find(Active.revision());
    if (Expected == ByRevision.end() ||
        !diffConfigurations(Active, Expected->second, EntityKinds).empty())
      Faults.push_back("configuration differs from the log on instance " +
                       std::to_string(I));
  }
}

ConfigMembers ConfigCluster::members(std::size_t Index) const {
  ConfigMembers Members;
  if (Flaw_ == ConfigFlaw::AcceptsAtCommit)
    return {{nameOf(Index), {}}};
  for (std::size_t I = 0; I < Instances_.size(); ++I) {
    ConfigMember Member{nameOf(I), {}};
    for (std::size_t J = 0; J < Instances_.size(); ++J)
      if (J != I)
        Member.Witnesses_.push_back(nameOf(J));
    Members.push_back(std::move(Member));
  }
  return Members;
}

} // namespace gooseberry
