#include "ConfigCluster.h"

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/ConfigDiff.h"
#include "gooseberrybeam/config/ConfigRows.h"

namespace gooseberry {
namespace {

/// An accepted change is in force everywhere within this time.
constexpr Duration InForceBound = std::chrono::seconds(10);

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
  return Accepted ? std::optional<Revision>(Accepted->Number_) : std::nullopt;
}

bool isRefused(const CommandRecord &Record) {
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
    Hosts_.push_back(std::make_unique<Host>(Table_));
  for (std::size_t I = 0; I < Count; ++I)
    start(I);
}

void ConfigCluster::run(Duration Time) {
  const TimePoint End = Now_ + Time;
  while (Now_ < End) {
    Now_ += Step;
    Table_.advanceTo(Now_);
    deliver();
    for (std::size_t I = 0; I < Hosts_.size(); ++I)
      if (!Hosts_[I]->IsPaused_)
        carryOut(I, Hosts_[I]->Node_->onTick(Now_));
  }
}

std::size_t ConfigCluster::submit(std::size_t Instance, std::string Request,
                                  ChangeCommand Command) {
  ConfigTicket Ticket = FollowerTicket;
  const std::size_t Record = Commands_.size();
  Commands_.push_back({std::move(Request), Command, std::nullopt, {}});
  ConfigActions Actions =
      Hosts_[Instance]->Node_->onCommand(std::move(Command), Now_, Ticket);
  Running_[{Instance, Hosts_[Instance]->Incarnation_, Ticket}] = Record;
  carryOut(Instance, std::move(Actions));
  return Record;
}

void ConfigCluster::replace(std::size_t Instance) {
  ++Hosts_[Instance]->Incarnation_;
  Hosts_[Instance]->First_.reset();
  Hosts_[Instance]->IsPaused_ = false;
  Hosts_[Instance]->Deferred_.clear();
  start(Instance);
}

void ConfigCluster::setPaused(std::size_t Instance, bool IsPaused) {
  Hosts_[Instance]->IsPaused_ = IsPaused;
  if (IsPaused)
    return;
  const auto Deferred = std::exchange(Hosts_[Instance]->Deferred_, {});
  for (const auto &Handle : Deferred)
    Handle();
}

void ConfigCluster::setIsolated(std::size_t Instance, bool IsIsolated) {
  Hosts_[Instance]->IsIsolated_ = IsIsolated;
}

std::vector<std::string>
ConfigCluster::findFaults(const std::set<std::size_t> &Reachable) {
  std::vector<std::string> Faults;
  checkLog(Faults);
  checkGrowth(Faults);
  checkInForce(Reachable, Faults);
  checkContents(Faults);
  return Faults;
}

void ConfigCluster::start(std::size_t Index) {
  Host &Started = *Hosts_[Index];
  const auto Seed = static_cast<std::uint32_t>(Random_());
  Started.Node_ = std::make_unique<ConfigNode>(nameOf(Index), Seed);
  Started.Node_->setMembers(members(Index));
}

void ConfigCluster::carryOut(std::size_t Index, ConfigActions Actions) {
  for (ConfigAction &Action : Actions)
    std::visit([this, Index](auto &Wanted) { perform(Index, Wanted); }, Action);
}

void ConfigCluster::perform(std::size_t Index, ReadTable &Read) {
  const int Incarnation = Hosts_[Index]->Incarnation_;
  Hosts_[Index]->Link_.read(
      std::move(Read.Query_),
      [=, this, Ticket = Read.Ticket_](const ReadOutcome &Got) {
        whenAwake(Index, Incarnation, [=, this] {
          carryOut(Index, Hosts_[Index]->Node_->onTableRead(Ticket, Got, Now_));
        });
      });
}

void ConfigCluster::perform(std::size_t Index, TransactTable &Transact) {
  const int Incarnation = Hosts_[Index]->Incarnation_;
  Hosts_[Index]->Link_.transact(
      std::move(Transact.Transaction_),
      [=, this, Ticket = Transact.Ticket_](const TransactOutcome &Got) {
        whenAwake(Index, Incarnation, [=, this] {
          carryOut(Index, Hosts_[Index]->Node_->onTransact(Ticket, Got, Now_));
        });
      });
}

void ConfigCluster::perform(std::size_t Index, SendConfigMessage &Send) {
  send(Index, Send.To_, std::move(Send.Message_));
}

void ConfigCluster::perform(std::size_t Index, PublishConfiguration &Publish) {
  Host &At = *Hosts_[Index];
  if (!At.First_)
    At.First_ = Publish.Configuration_;
  Published_.push_back(
      {Index, At.Incarnation_, Now_, Publish.Configuration_->revision()});
  if (Flaw_ == ConfigFlaw::RepublishesOld &&
      Publish.Configuration_ != At.First_)
    Published_.push_back({Index, At.Incarnation_, Now_, At.First_->revision()});
}

void ConfigCluster::perform(std::size_t Index, AnswerCommand &Answer) {
  answer(Index, Answer);
}

void ConfigCluster::whenAwake(std::size_t Index, int Incarnation,
                              std::function<void()> Handle) {
  Host &To = *Hosts_[Index];
  if (To.Incarnation_ != Incarnation)
    return;
  if (To.IsPaused_)
    To.Deferred_.push_back(std::move(Handle));
  else
    Handle();
}

void ConfigCluster::send(std::size_t From, const InstanceId &To,
                         ConfigMessage Message) {
  std::uniform_real_distribution<double> Share(0, 1);
  std::uniform_int_distribution<int> Milliseconds(1, 60);
  const TimePoint At = Now_ + std::chrono::milliseconds(Milliseconds(Random_));
  if (Share(Random_) < LossShare_)
    return;
  Mails_.emplace(At, Mail{From, indexOf(To), Message});
  if (Share(Random_) < LossShare_)
    Mails_.emplace(At + std::chrono::milliseconds(Milliseconds(Random_)),
                   Mail{From, indexOf(To), std::move(Message)});
}

void ConfigCluster::deliver() {
  while (!Mails_.empty() && Mails_.begin()->first <= Now_) {
    const Mail Next = std::move(Mails_.extract(Mails_.begin()).mapped());
    Host &To = *Hosts_[Next.To_];
    if (To.IsPaused_ || To.IsIsolated_ || Hosts_[Next.From_]->IsIsolated_)
      continue;
    const auto Parsed = parseConfigMessage(encodeConfigMessage(Next.Message_));
    if (Parsed)
      carryOut(Next.To_,
               To.Node_->onPeerMessage(nameOf(Next.From_), *Parsed, Now_));
  }
}

void ConfigCluster::answer(std::size_t Index, const AnswerCommand &Answer) {
  const auto Found =
      Running_.find({Index, Hosts_[Index]->Incarnation_, Answer.Ticket_});
  if (Found == Running_.end()) {
    // Answered within onCommand, before the ticket was noted.
    Commands_.back().Outcome_ = Answer.Outcome_;
    Commands_.back().AnsweredAt_ = Now_;
    return;
  }
  const std::size_t Record = Found->second;
  Running_.erase(Found);
  Commands_[Record].Outcome_ = Answer.Outcome_;
  Commands_[Record].AnsweredAt_ = Now_;
  if (Flaw_ != ConfigFlaw::RepeatsWithNewToken ||
      !std::holds_alternative<ChangeUnknown>(Answer.Outcome_))
    return;
  ChangeCommand Again = Commands_[Record].Command_;
  Again.Token_ += "+";
  Again.IfRevision_.reset();
  submit(Index, Commands_[Record].Request_, std::move(Again));
}

void ConfigCluster::checkLog(std::vector<std::string> &Faults) {
  std::map<std::string, std::string> RequestOf;
  for (const CommandRecord &Record : Commands_)
    RequestOf[Record.Command_.Token_] = Record.Request_;
  std::map<std::string, Revision> RevisionOf;
  Revision Last = NoRevision;
  for (const auto &[Key, Row] : Table_.rows()) {
    const std::vector<TableRow> One = {Row};
    for (const ConfigLogEntry &Entry : parseLogRows(One)) {
      if (Entry.Number_ != Last + 1)
        Faults.push_back("gap in the log before " + Key);
      Last = Entry.Number_;
      if (!RevisionOf.try_emplace(RequestOf[Entry.Token_], Last).second)
        Faults.push_back("two revisions for request " +
                         RequestOf[Entry.Token_]);
    }
  }
  std::set<std::string> Unrefused;
  for (const CommandRecord &Record : Commands_) {
    const auto Found = RevisionOf.find(Record.Request_);
    const bool IsLogged = Found != RevisionOf.end();
    if (!isRefused(Record))
      Unrefused.insert(Record.Request_);
    if (isRefused(Record) && IsLogged && !Unrefused.contains(Record.Request_))
      Faults.push_back("refused but in the log: " + Record.Request_);
    const auto Accepted = acceptedRevision(Record);
    if (Accepted && (!IsLogged || Found->second != *Accepted))
      Faults.push_back("accepted but not in the log: " + Record.Request_);
    if (Accepted && Record.Command_.IsStrict_ &&
        *Accepted != *Record.Command_.IfRevision_ + 1)
      Faults.push_back("strict command passed over a change: " +
                       Record.Request_);
  }
}

void ConfigCluster::checkGrowth(std::vector<std::string> &Faults) const {
  std::map<std::pair<std::size_t, int>, Revision> Last;
  for (const PublishedEvent &Event : Published_) {
    const auto [At, IsFirst] =
        Last.try_emplace({Event.Instance_, Event.Incarnation_}, Event.Number_);
    if (!IsFirst && Event.Number_ <= At->second)
      Faults.push_back("revision went back on instance " +
                       std::to_string(Event.Instance_));
    At->second = Event.Number_;
  }
}

void ConfigCluster::checkInForce(const std::set<std::size_t> &Reachable,
                                 std::vector<std::string> &Faults) const {
  for (const CommandRecord &Record : Commands_) {
    const auto Accepted = acceptedRevision(Record);
    if (!Accepted || Now_ < Record.AnsweredAt_ + InForceBound)
      continue;
    for (const std::size_t Instance : Reachable) {
      const bool IsInForce = std::any_of(
          Published_.begin(), Published_.end(), [&](const PublishedEvent &At) {
            return At.Instance_ == Instance && At.Number_ >= *Accepted &&
                   At.Incarnation_ <= Hosts_[Instance]->Incarnation_ &&
                   At.At_ <= Record.AnsweredAt_ + InForceBound;
          });
      if (!IsInForce)
        Faults.push_back("revision " + std::to_string(*Accepted) +
                         " not in force in time on instance " +
                         std::to_string(Instance));
    }
  }
}

void ConfigCluster::checkContents(std::vector<std::string> &Faults) {
  std::map<Revision, Configuration> ByRevision;
  ByRevision[NoRevision] = Configuration();
  Configuration Whole;
  for (const auto &[Key, Row] : Table_.rows()) {
    const std::vector<TableRow> One = {Row};
    for (const ConfigLogEntry &Entry : parseLogRows(One)) {
      Whole = Whole.with(Entry.Delta_, Entry.Number_);
      ByRevision[Entry.Number_] = Whole;
    }
  }
  for (std::size_t I = 0; I < Hosts_.size(); ++I) {
    const Configuration &Held = *Hosts_[I]->Node_->follower().configuration();
    const auto Expected = ByRevision.find(Held.revision());
    if (Expected == ByRevision.end() ||
        !diffConfigurations(Held, Expected->second, EntityKinds).empty())
      Faults.push_back("contents differ on instance " + std::to_string(I));
  }
}

ConfigMembers ConfigCluster::members(std::size_t Index) const {
  ConfigMembers Members;
  if (Flaw_ == ConfigFlaw::AcceptsAtCommit)
    return {{nameOf(Index), {}}};
  for (std::size_t I = 0; I < Hosts_.size(); ++I) {
    ConfigMember Member{nameOf(I), {}};
    for (std::size_t J = 0; J < Hosts_.size(); ++J)
      if (J != I)
        Member.Witnesses_.push_back(nameOf(J));
    Members.push_back(std::move(Member));
  }
  return Members;
}

} // namespace gooseberry
