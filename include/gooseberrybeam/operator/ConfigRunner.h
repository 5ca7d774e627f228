/// \file
/// Carries out what the configuration's core decides.
#ifndef GOOSEBERRYBEAM_OPERATOR_CONFIGRUNNER_H
#define GOOSEBERRYBEAM_OPERATOR_CONFIGRUNNER_H

#include "gooseberrybeam/config/ConfigNode.h"
#include "gooseberrybeam/config/SnapshotCell.h"
#include "gooseberrybeam/table/TableClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace gooseberry {

/// Runs a `ConfigNode` on the control thread. All calls are made there.
class ConfigRunner {
public:
  using OutcomeHandler = std::function<void(const ChangeOutcome &)>;
  using Sender = std::function<void(const InstanceId &, std::string)>;
  using Cell = SnapshotCell<Configuration>;

  /// \param Context the control thread's context.
  /// \param Table the table service.
  /// \param Published where configurations are put in force.
  /// \param Self this instance's name.
  /// \param Seed seeds jitter.
  ConfigRunner(boost::asio::io_context &Context, TableClient &Table,
               Cell &Published, InstanceId Self, std::uint32_t Seed);

  /// \param Send sends bytes to an instance's `receive`; may lose them.
  void setSender(Sender Send) { Send_ = std::move(Send); }

  /// Begins to follow.
  void start();

  /// Carries out an operator's command.
  /// \param Command the command.
  /// \param Handler takes the outcome, once.
  void command(ChangeCommand Command, OutcomeHandler Handler);

  /// \param From the sender of a message.
  /// \param Bytes the message.
  void receive(const InstanceId &From, std::string_view Bytes);

  /// \param From a peer.
  /// \param Number the revision that its heartbeat named.
  void notePeerRevision(const InstanceId &From, Revision Number);

  /// \param Members the members of the epoch, this instance included.
  void setMembers(ConfigMembers Members) {
    Node_.setMembers(std::move(Members));
  }

  /// \param Peers instances to ask before the members are known.
  void setSeedPeers(std::vector<InstanceId> Peers) {
    Node_.setSeedPeers(std::move(Peers));
  }

  /// \returns the core.
  const ConfigNode &node() const { return Node_; }

private:
  void scheduleTick();
  void carryOut(ConfigActions Actions);
  void perform(ReadTable &Read);
  void perform(TransactTable &Transact);
  void perform(SendConfigMessage &Send);
  void perform(PublishConfiguration &Publish);
  void perform(AnswerCommand &Answer);

  boost::asio::steady_timer Timer_;
  TableClient &Table_;
  Cell &Published_;
  ConfigNode Node_;
  Sender Send_;
  std::map<ConfigOperationId, OutcomeHandler> Handlers_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_OPERATOR_CONFIGRUNNER_H
