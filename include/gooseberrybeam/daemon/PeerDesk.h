/// \file
/// Hands messages of other instances to the parts that they are for.
#ifndef GOOSEBERRYBEAM_DAEMON_PEERDESK_H
#define GOOSEBERRYBEAM_DAEMON_PEERDESK_H

#include "gooseberrybeam/daemon/BackendWatcher.h"
#include "gooseberrybeam/daemon/ClusterDesk.h"
#include "gooseberrybeam/daemon/SweepRunner.h"
#include "gooseberrybeam/peers/TcpPeerTransport.h"

#include <functional>
#include <memory>
#include <set>

namespace gooseberry {

/// Owns the transport between instances. Runs on the control thread.
class PeerDesk {
public:
  /// All references outlive the desk.
  /// \param Cluster takes membership and limit messages.
  /// \param Sweep asks and answers questions about KV holdings.
  /// \param Watcher knows the backend servers.
  PeerDesk(ClusterDesk &Cluster, SweepRunner &Sweep, BackendWatcher &Watcher)
      : Cluster_(Cluster), Sweep_(Sweep), Watcher_(Watcher) {}

  /// Opens the port for peers.
  /// \param Context runs the connections; outlives the desk.
  /// \param Settings how this instance takes part.
  /// \returns why it cannot be opened, or nothing.
  std::optional<PeerListenError> open(boost::asio::io_context &Context,
                                      PeerSettings Settings);

  /// \param Document the epoch now in force here.
  void onEpoch(const EpochDocument &Document);
  /// \param Self the new identity of this process.
  void onRejoin(const MemberId &Self);
  /// \param List the platform's newest list; others are told what leaves.
  void onList(const InstanceList &List);

  /// Takes messages that a part encodes itself.
  using BytesHandler =
      std::function<void(const InstanceId &From, std::string_view Bytes)>;

  /// \param Handler takes the config part's messages.
  void setConfigHandler(BytesHandler Handler) {
    OnConfig_ = std::move(Handler);
  }
  /// \param Handler takes the routing part's messages.
  void setPlacementHandler(BytesHandler Handler) {
    OnPlacement_ = std::move(Handler);
  }

  /// \param Handler takes the configuration revision that a heartbeat names.
  void setRevisionHandler(
      std::function<void(const InstanceId &, Revision)> Handler) {
    OnRevision_ = std::move(Handler);
  }

  /// Sends to the incarnation of an instance that the epoch lists, if any.
  /// \param To the instance.
  /// \param Message the message; it may be lost.
  void sendTo(const InstanceId &To, const PeerMessage &Message);

  /// \returns whether messages can be sent.
  bool isOpen() const { return Transport_ != nullptr; }

private:
  void connectParts();
  void tellAll(const PeerMessage &Message);
  void onMessage(const MemberId &From, const PeerMessage &Message);
  void noteRevision(const MemberId &From, const MembershipMessage &Message);

  ClusterDesk &Cluster_;
  SweepRunner &Sweep_;
  BackendWatcher &Watcher_;
  std::unique_ptr<TcpPeerTransport> Transport_;
  std::set<std::string> Leaving_;
  BytesHandler OnConfig_;
  std::function<void(const InstanceId &, Revision)> OnRevision_;
  BytesHandler OnPlacement_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_PEERDESK_H
