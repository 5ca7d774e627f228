#include "gooseberrybeam/daemon/OperatorDesk.h"

#include "gooseberrybeam/http/Endpoint.h"
#include "gooseberrybeam/membership/Witnesses.h"

#include <algorithm>
#include <random>

namespace gooseberry {
namespace {

std::string describeUse(const EngineInfo &Info) {
  std::string Use = Info.Role_ == EngineRole::Prefill ? "prefill" : "decode";
  for (const ModelId &Model : Info.Models_)
    Use += " " + Model.Value_;
  return Use;
}

} // namespace

OperatorDesk::OperatorDesk(asio::io_context &Context, const Settings &Options,
                           DaemonState &State, TableClient &Table,
                           const ClusterDesk &Cluster,
                           const BackendWatcher &Watcher,
                           std::function<void()> Drain)
    : Settings_(Options), State_(State), Cluster_(Cluster), Watcher_(Watcher),
      Drain_(std::move(Drain)), Runner_(Context, Table, State.Configuration_,
                                        Options.Name_, std::random_device()()),
      Api_(Runner_, *this, Options.OperatorKey_), Server_(Context, Api_) {}

std::optional<SettingsError> OperatorDesk::open() {
  const auto Endpoint = parseEndpoint(Settings_.OperatorListen_);
  if (Endpoint && !Server_.listen(*Endpoint))
    return std::nullopt;
  return SettingsError{"--operator-listen", Settings_.OperatorListen_,
                       "an address of this machine that is free"};
}

void OperatorDesk::onEpoch(const EpochDocument &Document) {
  ConfigMembers Members;
  for (const EpochMember &Each : Document.Members_) {
    ConfigMember Member{Each.Id_.Name_, {}};
    for (const MemberId &Witness : chooseWitnesses(Document, Each.Id_))
      Member.Witnesses_.push_back(Witness.Name_);
    Members.push_back(std::move(Member));
  }
  Runner_.setMembers(std::move(Members));
}

std::vector<BackendSummary> OperatorDesk::onListBackends() const {
  std::vector<BackendSummary> All;
  for (const ListedInstance &Entry : Watcher_.newest().Entries_) {
    if (Entry.Kind_ == ListedKind::Entry)
      continue;
    const bool IsEngine = Entry.Kind_ == ListedKind::Engine;
    BackendSummary Backend;
    Backend.Name_ = {Entry.Address_};
    Backend.DataCentre_ = Entry.DataCentre_;
    Backend.Kind_ = IsEngine ? "engine" : "service";
    Backend.Use_ = Entry.Service_;
    Backend.State_ = Entry.State_ == ListedState::Live ? "live" : "leaving";
    const EngineInfo *Info = Watcher_.findEngine(Backend.Name_);
    if (Info) {
      Backend.Use_ = describeUse(*Info);
      Backend.Slots_ = Info->DecodeSlots_;
      Backend.Active_ = Watcher_.activeOf(Backend.Name_);
    } else if (IsEngine && Backend.State_ == "live") {
      Backend.State_ = "silent";
    }
    All.push_back(std::move(Backend));
  }
  return All;
}

std::vector<InstanceSummary> OperatorDesk::onListInstances() const {
  std::vector<InstanceSummary> All;
  const InstanceRevisions &Held = Runner_.node().instanceRevisions();
  for (const EpochMember &Each : Cluster_.membership().document().Members_) {
    InstanceSummary Instance;
    Instance.Name_ = Each.Id_.Name_;
    Instance.PeerAddress_ = Each.PeerAddress_;
    Instance.DataCentre_ = Each.DataCentre_;
    Instance.IsSelf_ = Each.Id_.Name_ == Settings_.Name_;
    const auto Known = Held.find(Each.Id_.Name_);
    if (Known != Held.end())
      Instance.Revision_ = Known->second;
    All.push_back(std::move(Instance));
  }
  return All;
}

StatusSummary OperatorDesk::onDescribeStatus() const {
  const TimePoint Now = readBootClock();
  const MembershipCore &Membership = Cluster_.membership();
  StatusSummary Status;
  Status.Name_ = Settings_.Name_;
  Status.DataCentre_ = Settings_.DataCentre_;
  Status.Revision_ = Runner_.node().revision();
  Status.NewestNamed_ = Runner_.node().follower().newestKnownRevision();
  Status.Epoch_ = Membership.document().Epoch_;
  Status.LeaseLeft_ = std::max(Membership.validUntil() - Now, Duration());
  Status.InFlight_ = static_cast<std::uint64_t>(
      std::max<std::int64_t>(State_.InFlight_.load(), 0));
  Status.IsDraining_ = State_.Drain_.load() != DrainPhase::Serving;
  Status.IsReady_ = !Status.IsDraining_ && State_.isLeaseValid(Now) &&
                    Status.Revision_ != NoRevision &&
                    State_.AreBackendsKnown_.load();
  return Status;
}

} // namespace gooseberry
