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
  TimePoint At_{};
  Revision Number_ = NoRevision;
};

/// An operator's command and its answer.
struct CommandRecord {
  std::string Request_; ///< The operator's intent, kept over repeats.
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
  std::size_t submit(std::size_t Instance, std::string Request,
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
    return Hosts_[Instance]->Link_.faults();
  }
  ConfigNode &node(std::size_t Instance) { return *Hosts_[Instance]->Node_; }
  std::size_t size() const { return Hosts_.size(); }
  const std::vector<PublishedEvent> &published() const { return Published_; }
  const std::vector<CommandRecord> &commands() const { return Commands_; }
  double &lossShare() { return LossShare_; }

  /// \returns what is wrong with the history so far; empty if nothing is.
  /// \param Reachable instances that must follow; others are exempt.
  std::vector<std::string> findFaults(const std::set<std::size_t> &Reachable);

private:
  struct Host {
    explicit Host(FakeTable &Table) : Link_(Table) {}
    FakeTableLink Link_;
    std::unique_ptr<ConfigNode> Node_;
    int Incarnation_ = 0;
    bool IsPaused_ = false;
    bool IsIsolated_ = false;
    /// Replies that came while the instance was paused.
    std::vector<std::function<void()>> Deferred_;
    ConfigurationPtr First_; ///< The first configuration put in force.
  };

  struct Mail {
    std::size_t From_ = 0;
    std::size_t To_ = 0;
    ConfigMessage Message_;
  };

  void start(std::size_t Index);
  void carryOut(std::size_t Index, ConfigActions Actions);
  void whenAwake(std::size_t Index, int Incarnation,
                 std::function<void()> Handle);
  void perform(std::size_t Index, ReadTable &Read);
  void perform(std::size_t Index, TransactTable &Transact);
  void perform(std::size_t Index, SendConfigMessage &Send);
  void perform(std::size_t Index, PublishConfiguration &Publish);
  void perform(std::size_t Index, AnswerCommand &Answer);
  void send(std::size_t From, const InstanceId &To, ConfigMessage Message);
  void deliver();
  void answer(std::size_t Index, const AnswerCommand &Answer);
  void checkLog(std::vector<std::string> &Faults);
  void checkGrowth(std::vector<std::string> &Faults) const;
  void checkInForce(const std::set<std::size_t> &Reachable,
                    std::vector<std::string> &Faults) const;
  void checkContents(std::vector<std::string> &Faults);
  ConfigMembers members(std::size_t Index) const;

  ConfigFlaw Flaw_;
  std::mt19937 Random_;
  TimePoint Now_{};
  FakeTable Table_;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::multimap<TimePoint, Mail> Mails_;
  double LossShare_ = 0;
  std::vector<PublishedEvent> Published_;
  std::vector<CommandRecord> Commands_;
  /// Records of running commands by instance, incarnation and ticket.
  std::map<std::tuple<std::size_t, int, ConfigTicket>, std::size_t> Running_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_CONFIGCLUSTER_H
