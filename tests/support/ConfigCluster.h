/// \file
/// Several instances that share a configuration, in virtual time.
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

/// A configuration came into force on an instance.
struct PublishedEvent {
  std::size_t Instance_ = 0;
  int Incarnation_ = 0;
  TimePoint Time_{};
  Revision Revision_ = NoRevision;
};

/// An operator's command and its answer.
struct CommandRecord {
  std::string IntentId_; ///< The operator's intent, kept over repeats.
  ChangeCommand Command_;
  std::optional<ChangeOutcome> Outcome_;
  TimePoint AnsweredAt_{};
};

/// A deliberately broken behaviour, to show that checks can fail.
enum class ConfigFlaw : std::uint8_t {
  None,
  RepublishesOld,     ///< An instance puts an older configuration in force.
  AcceptsAtCommit,    ///< A commit is accepted though no other member has it.
  RepeatsWithNewToken ///< An unknown outcome is tried again as a new command.
};

/// Nodes, their network and the table. Steps of fixed length.
class ConfigCluster {
public:
  static constexpr Duration Step = std::chrono::milliseconds(20);

  ConfigCluster(std::size_t Count, std::uint32_t Seed,
                ConfigFlaw Flaw = ConfigFlaw::None);

  /// Runs for a while.
  void run(Duration Time);

  /// Starts a command at an instance.
  /// \returns the index of its record.
  std::size_t submit(std::size_t Instance, std::string IntentId,
                     ChangeCommand Command);

  /// Replaces an instance by a fresh one of the same name.
  void replace(std::size_t Instance);
  /// Stops or resumes an instance; it keeps what it holds.
  void setPaused(std::size_t Instance, bool IsPaused);
  /// Cuts an instance off from its peers, or joins it again.
  void setIsolated(std::size_t Instance, bool IsIsolated);

  /// \returns the time.
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

  /// \returns what is wrong with the history so far; empty if nothing is.
  /// \param Reachable instances that must follow; others are exempt.
  std::vector<std::string> findFaults(const std::set<std::size_t> &Reachable);

private:
  struct InstanceState {
    explicit InstanceState(FakeTable &Table) : Link_(Table) {}
    FakeTableLink Link_;
    std::unique_ptr<ConfigNode> Node_;
    int Incarnation_ = 0;
    bool IsPaused_ = false;
    bool IsIsolated_ = false;
    /// Replies that came while the instance was paused.
    std::vector<std::function<void()>> Deferred_;
    ConfigurationPtr
        FirstConfiguration_; ///< The first configuration put in force.
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
  /// Records of running commands by instance, incarnation and ticket.
  std::map<std::tuple<std::size_t, int, ConfigOperationId>, std::size_t>
      PendingCommands_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_CONFIGCLUSTER_H
