/// \file
/// Keeps an instance's configuration up to date with the table and its peers.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGFOLLOWER_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGFOLLOWER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/config/ConfigAction.h"
#include "gooseberrybeam/config/ConfigHead.h"
#include "gooseberrybeam/config/SnapshotLoad.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace gooseberry {

/// Mean interval between reads of the head while the table answers.
inline constexpr Duration ConfigPollPeriod = std::chrono::seconds(2);
/// Longest mean interval between reads of the head while the table does not
/// answer.
inline constexpr Duration ConfigMaxBackoff = std::chrono::seconds(4);
/// Mean interval between reads while loading a snapshot or catching up.
inline constexpr Duration ConfigReadInterval = std::chrono::milliseconds(250);
/// Time after which an unanswered request goes to another peer.
inline constexpr Duration ConfigPeerTimeout = std::chrono::milliseconds(500);
/// Most log rows per read.
inline constexpr std::uint32_t ConfigLogPageRows = 200;
/// Most requests for snapshot parts in flight at once.
inline constexpr int ConfigMaxPartRequests = 8;
/// Most log entries kept in memory for peers that are behind.
inline constexpr std::size_t ConfigMaxRecentEntries = 512;
/// Most log entries per message.
inline constexpr std::size_t ConfigEntriesPerMessage = 64;
/// Consecutive rounds of part requests without a new part after which the peer
/// load is given up and the snapshot is read from the table.
inline constexpr int ConfigMaxPeerAttempts = 3;

/// Event counts since the follower was created.
struct ConfigFollowerCounters {
  std::uint64_t Reads_ = 0;       ///< Table reads requested.
  std::uint64_t FailedReads_ = 0; ///< Table reads that failed.
  /// Heads read that were older than the candidate; ignored.
  std::uint64_t StaleHeads_ = 0;
  /// Entity rows that a load skipped as malformed.
  std::uint64_t MalformedRows_ = 0;
  std::uint64_t SnapshotLoads_ = 0;    ///< Complete snapshots installed.
  std::uint64_t EntriesFromPeers_ = 0; ///< Log entries applied from peers.
  std::uint64_t EntriesFromTable_ = 0; ///< Log entries applied from the table.
};

/// Follows the log in the table service and the messages of peers. The active
/// revision never decreases. Performs no I/O: event handlers return the actions
/// that the caller has to perform.
class ConfigFollower {
public:
  /// \param Seed seed of the polling jitter; should differ between instances.
  explicit ConfigFollower(std::uint32_t Seed);

  /// \param Now the current time.
  /// \returns the actions that are due. Call it several times a second.
  ConfigActions onTick(TimePoint Now);

  /// Handles the outcome of a `ReadTable` with `FollowerOperationId`.
  /// \param Now the current time.
  ConfigActions onTableRead(const ReadOutcome &Outcome, TimePoint Now);

  /// Applies changes that are known to be committed, from any source.
  /// \param Entries the log entries by ascending revision; entries that were
  ///   already applied are skipped.
  ConfigActions onEntries(std::span<const ConfigLogEntry> Entries);

  /// Handles a message from a peer.
  /// \param Sender the peer that sent \p Message.
  /// \param Now the current time.
  ConfigActions onPeerMessage(const InstanceId &Sender,
                              const ConfigMessage &Message, TimePoint Now);

  /// Handles a revision learned from a heartbeat or a message of a peer.
  /// \param Sender the peer.
  /// \param Number the revision that the peer has.
  /// \param Now the current time.
  ConfigActions onPeerRevision(const InstanceId &Sender, Revision Number,
                               TimePoint Now);

  /// \param Peers the other instances, to which requests may be sent.
  void setPeers(std::vector<InstanceId> Peers) { Peers_ = std::move(Peers); }

  /// \returns whether a complete configuration, possibly empty, is active.
  bool isLoaded() const { return HasPublished_; }

  /// \returns the active configuration; empty and at `NoRevision` before the
  ///   first one is loaded.
  const ConfigurationPtr &configuration() const { return Active_; }

  /// \returns the active revision.
  Revision revision() const { return Active_->revision(); }

  /// \returns the newest revision reported by the table or any peer; it may be
  ///   newer than the active one.
  Revision newestKnownRevision() const { return NewestKnown_; }

  /// \returns the time at which the last read that found no newer revision was
  ///   sent, or nothing.
  std::optional<TimePoint> upToDateAt() const { return UpToDateAt_; }

  /// Searches the log entries in memory for a command.
  /// \param Token the command's idempotency token.
  /// \returns the newest revision with that token, or nothing.
  std::optional<Revision> findRevisionOfToken(std::string_view Token) const;

  /// \returns the log entries in memory that are newer than \p AfterRevision;
  ///   there is a gap before the first if older ones have been dropped.
  std::vector<ConfigLogEntry> entriesAfter(Revision AfterRevision) const;

  const ConfigFollowerCounters &counters() const { return Counters_; }

private:
  enum class LoadSource : std::uint8_t { None, Table, Peer };

  void poll(TimePoint Now, ConfigActions &Actions);
  void readPage(TimePoint Now, ConfigActions &Actions);
  void read(TableQuery Query, TimePoint Now, ConfigActions &Actions);
  void onRows(const TableRows &Rows, TimePoint Now, ConfigActions &Actions);
  void onLoadPage(const TableRows &Rows, TimePoint Now);
  void onHead(const ConfigHead &Head, std::size_t Applied, TimePoint Now,
              ConfigActions &Actions);
  void startTableLoad(TimePoint Now);
  bool needsPeerLoad() const;
  void startPeerLoad();
  void requestParts(TimePoint Now, ConfigActions &Actions);
  void onPart(const InstanceId &Sender, const ConfigPart &Part, TimePoint Now,
              ConfigActions &Actions);
  void installSnapshot();
  void sendEntries(const InstanceId &Sender, Revision AfterRevision,
                   ConfigActions &Actions);
  std::size_t apply(std::span<const ConfigLogEntry> Entries);
  void publish(ConfigActions &Actions);
  void requestEntries(const InstanceId &Peer, TimePoint Now,
                      ConfigActions &Actions);
  const InstanceId &randomPeer();
  /// \returns whether later log entries can be applied to \c Candidate_.
  bool canApplyEntries() const { return IsConsistent_ || ConsistentFrom_; }
  Revision candidateRevision() const { return Candidate_->revision(); }
  TimePoint jittered(TimePoint Now, Duration Mean);

  /// The configuration under construction; activated once it is consistent.
  ConfigurationPtr Candidate_;
  ConfigurationPtr Active_;
  bool IsConsistent_ = false;
  bool HasPublished_ = false;
  /// The candidate revision if the last read found a newer head but yielded no
  /// entry that could be applied. A second such read starts a load.
  std::optional<Revision> StalledRevision_;
  /// The revision from which on \c Candidate_ is consistent, if known.
  std::optional<Revision> ConsistentFrom_;
  /// A table load has finished, but its rows may be newer than any head read so
  /// far.
  bool NeedsHead_ = false;
  std::deque<ConfigLogEntry> RecentEntries_;
  Revision NewestKnown_ = NoRevision;
  std::optional<TimePoint> UpToDateAt_;

  LoadSource LoadSource_ = LoadSource::None;
  SnapshotLoad Load_;
  std::vector<InstanceId> Peers_;
  InstanceId RequestedPeer_;
  int PeerAttempts_ = 0;
  TimePoint NextRequestAt_{};
  TimePoint PeerRetryAt_{};

  std::optional<TimePoint> ReadSentAt_;
  std::optional<TimePoint> NextReadAt_;
  Duration PollPeriod_ = ConfigPollPeriod;
  std::minstd_rand Random_;
  ConfigFollowerCounters Counters_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGFOLLOWER_H
