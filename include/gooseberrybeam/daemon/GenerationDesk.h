/// \file
/// Connects the dispatcher with the threads that run generations.
#ifndef GOOSEBERRYBEAM_DAEMON_GENERATIONDESK_H
#define GOOSEBERRYBEAM_DAEMON_GENERATIONDESK_H

#include "gooseberrybeam/daemon/PlacementMailbox.h"
#include "gooseberrybeam/routing/Dispatcher.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace gooseberry {

/// Owns the dispatcher. Its methods are for the control thread; workers post
/// them there.
class GenerationDesk {
public:
  using Mailbox = std::shared_ptr<PlacementMailbox>;
  /// Sends a placement message to a peer.
  using Sender =
      std::function<void(const InstanceId &To, const PlacementMessage &)>;

  /// \param Options settings of the dispatcher.
  explicit GenerationDesk(DispatchOptions Options);

  /// \param Send sends messages to peers; none are sent before this is set.
  void setSender(Sender Send) { Send_ = std::move(Send); }

  /// Takes a new generation; it is active from now on.
  /// \param Item the generation.
  /// \param Box where its actions go.
  void submit(GenerationSpec Item, Mailbox Box);

  /// \param Step what happened on an engine.
  void report(const GenerationProgress &Step);

  /// The last call to an engine for a generation has ended.
  /// \param Request the generation; it is not active any more.
  void end(const RequestId &Request);

  /// \param Request a request.
  /// \returns whether it may still use engines.
  bool isActive(const RequestId &Request) const {
    return Boxes_.contains(Request);
  }

  /// \param From the sender.
  /// \param Message what a peer sent.
  void onMessage(const InstanceId &From, const PlacementMessage &Message);

  /// \param Members live instances, this one included.
  void onMembers(std::span<const InstanceId> Members);

  /// \param Engine who reports.
  /// \param Report its load.
  void onLoad(const BackendId &Engine, const LoadReport &Report);

  /// Notices time; called about every 10 ms.
  void tick();

  /// \returns the dispatcher, for events that cause no actions.
  Dispatcher &dispatcher() { return Dispatcher_; }

private:
  void carryOut();

  Dispatcher Dispatcher_;
  DispatchActions Actions_;
  std::unordered_map<RequestId, Mailbox> Boxes_;
  Sender Send_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_GENERATIONDESK_H
