/// \file
/// A simulated cluster of instances that share a configuration.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_CONFIGCLUSTER_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_CONFIGCLUSTER_H

#include "FakeTable.h"
#include "gooseberrybeam/config/ConfigNode.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberry {

/// The activation of a configuration on an instance.
struct PublishedEvent {
  std::size_t Instance_ = 0;
  int Incarnation_ = 0;
  TimePoint Time_{};
  Revision Revision_ = NoRevision;
};

/// An operator's command and its outcome.
struct CommandRecord {
  /// Identifies the intended change; equal for all retries.
  std::string IntentId_;
  ChangeCommand Command_;
  std::optional<ChangeOutcome> Outcome_;
  TimePoint AnsweredAt_{};
};

/// An injected defect, used to verify that the checks can fail.
enum class ConfigFlaw : std::uint8_t {
  None,
  RepublishesOld,     ///< An instance activates an older configuration again.
  AcceptsAtCommit,    ///< A commit is accepted before another member has it.
  RepeatsWithNewToken ///< A command with unknown outcome gets a new token.
};

/// Simulates configuration nodes, their network and the table in virtual time,
/// with steps of fixed length.
class ConfigCluster {
public:
  static constexpr Duration Step = std::chrono::milliseconds(20);

  ConfigCluster(std::size_t Count, std::uint32_t Seed,
                ConfigFlaw Flaw = ConfigFlaw::None);

  /// Advances virtual time by \p Time.
  void run(Duration Time);

  /// Submits a command to an instance.
  /// \returns the index of its record in `commands`.
  std::size_t submit(std::size_t Instance, std::string IntentId,
                     ChangeCommand Command);

  /// Replaces an instance by a new one with the same name and no state.
  void replace(std::size_t Instance);
  /// Pauses or resumes an instance, which keeps its state.
  void setPaused(std::size_t Instance, bool IsPaused);
  /// Disconnects an instance from its peers or reconnects it.
  void setIsolated(std::size_t Instance, bool IsIsolated);

  /// \returns the virtual time.
  TimePoint now() const { return Now_; }
  FakeTable &table() { return Table_; }
  FakeTableFaults &linkFaults(std::size_t Instance) {
    return Instances_[Instance]->Link_.faults();
  }
  ConfigNode &node(std::size_t Instance) {
    return *Instances_[Instance]->Node_;
  }
  std::size_t size() const { return Instances_.size(); }
  const std::vector<PublishedEvent> &published() const { return Published_; }
  const std::vector<CommandRecord> &commands() const { return Commands_; }
  double &lossProbability() { return LossProbability_; }

  /// Checks the invariants of the history so far.
  /// \param Reachable the instances that have to activate accepted changes in
  ///   time.
  /// \returns a description of each violation.
  std::vector<std::string> findFaults(const std::set<std::size_t> &Reachable);

private:
  struct InstanceState {
    explicit InstanceState(FakeTable &Table) : Link_(Table) {}
    FakeTableLink Link_;
    std::unique_ptr<ConfigNode> Node_;
    int Incarnation_ = 0;
    bool IsPaused_ = false;
    bool IsIsolated_ = false;
    /// Handlers of replies that arrived while the instance was paused.
    std::vector<std::function<void()>> Deferred_;
    /// The first configuration that was activated.
    ConfigurationPtr FirstConfiguration_;
  };

  struct QueuedMessage {
    std::size_t Sender_ = 0;
    std::size_t Recipient_ = 0;
    ConfigMessage Message_;
  };

  void start(std::size_t Index);
  void performAll(std::size_t Index, ConfigActions Actions);
  void runOrDefer(std::size_t Index, int Incarnation,
                  std::function<void()> Callback);
  void perform(std::size_t Index, ReadTable &Read);
  void perform(std::size_t Index, TransactTable &Transact);
  void perform(std::size_t Index, SendConfigMessage &Send);
  void perform(std::size_t Index, PublishConfiguration &Publish);
  void perform(std::size_t Index, AnswerCommand &Answer);
  void send(std::size_t Sender, const InstanceId &Recipient,
            ConfigMessage Message);
  void deliver();
  void answer(std::size_t Index, const AnswerCommand &Answer);
  void checkLog(std::vector<std::string> &Faults);
  void checkMonotonicity(std::vector<std::string> &Faults) const;
  void checkActivation(const std::set<std::size_t> &Reachable,
                       std::vector<std::string> &Faults) const;
  void checkContents(std::vector<std::string> &Faults);
  ConfigMembers members(std::size_t Index) const;

  ConfigFlaw Flaw_;
  std::mt19937 Random_;
  TimePoint Now_{};
  FakeTable Table_;
  std::vector<std::unique_ptr<InstanceState>> Instances_;
  std::multimap<TimePoint, QueuedMessage> QueuedMessages_;
  double LossProbability_ = 0;
  std::vector<PublishedEvent> Published_;
  std::vector<CommandRecord> Commands_;
  /// Record indexes of pending commands by instance, incarnation and operation
  /// ID.
  std::map<std::tuple<std::size_t, int, ConfigOperationId>, std::size_t>
      PendingCommands_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_CONFIGCLUSTER_H
