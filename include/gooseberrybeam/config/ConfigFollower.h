/// \file
/// Keeps an instance's configuration at the newest revision.
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

/// Mean time between readings of the head while the table answers.
inline constexpr Duration ConfigPollPeriod = std::chrono::seconds(2);
/// Longest mean time between readings while it does not.
inline constexpr Duration ConfigMaxBackoff = std::chrono::seconds(4);
/// Time between the reads of one instance that loads or catches up.
inline constexpr Duration ConfigReadInterval = std::chrono::milliseconds(250);
/// After which an unanswered question goes to the next peer.
inline constexpr Duration ConfigPeerTimeout = std::chrono::milliseconds(500);
/// Log rows read at once.
inline constexpr std::uint32_t ConfigLogPageRows = 200;
/// Parts of a whole configuration that are asked for at once.
inline constexpr int ConfigMaxPartRequests = 8;
/// Changes kept in memory for peers that are behind.
inline constexpr std::size_t ConfigMaxRecentEntries = 512;
/// Changes sent in one message.
inline constexpr std::size_t ConfigEntriesPerMessage = 64;
/// Questions to peers that bring no snapshot before the table is loaded.
inline constexpr int ConfigMaxPeerAttempts = 3;

/// Counters of a follower.
struct ConfigFollowerCounters {
  std::uint64_t Reads_ = 0;         ///< Reads of the table that it asked for.
  std::uint64_t FailedReads_ = 0;   ///< Of these, not answered.
  std::uint64_t StaleHeads_ = 0;    ///< Heads older than what is held; ignored.
  std::uint64_t MalformedRows_ = 0; ///< Entities left out of a load.
  std::uint64_t SnapshotLoads_ = 0; ///< Whole configurations loaded.
  std::uint64_t EntriesFromPeers_ = 0; ///< Changes that peers brought.
  std::uint64_t EntriesFromTable_ = 0; ///< Changes that the table brought.
};

/// Follows the log in the table service and what peers send. Revisions only
/// grow. Does no I/O: events return what is to be done.
class ConfigFollower {
public:
  /// \param Seed seeds the jitter of polling; differs between instances.
  explicit ConfigFollower(std::uint32_t Seed);

  /// \param Now the time.
  /// \returns what to do at this time; to be called several times a second.
  ConfigActions onTick(TimePoint Now);

  /// The outcome of a read under `FollowerOperationId`.
  /// \param Outcome the outcome.
  /// \param Now the time.
  ConfigActions onTableRead(const ReadOutcome &Outcome, TimePoint Now);

  /// Changes that are known to be committed, from any source.
  /// \param Entries by growing revision; those held already are skipped.
  ConfigActions onEntries(std::span<const ConfigLogEntry> Entries);

  /// \param Sender the sender.
  /// \param Message its message.
  /// \param Now the time.
  ConfigActions onPeerMessage(const InstanceId &Sender,
                              const ConfigMessage &Message, TimePoint Now);

  /// A peer's revision, learned from a heartbeat or a message.
  /// \param Sender the peer.
  /// \param Number the revision that it holds.
  /// \param Now the time.
  ConfigActions onPeerRevision(const InstanceId &Sender, Revision Number,
                               TimePoint Now);

  /// \param Peers the other instances that can be asked.
  void setPeers(std::vector<InstanceId> Peers) { Peers_ = std::move(Peers); }

  /// \returns whether a whole configuration is held, be it an empty one.
  bool isLoaded() const { return HasPublished_; }

  /// \returns the configuration in force; empty at `NoRevision` if none is.
  const ConfigurationPtr &configuration() const { return Active_; }

  /// \returns the revision in force.
  Revision revision() const { return Active_->revision(); }

  /// \returns the newest revision that anyone named.
  Revision newestKnownRevision() const { return NewestKnown_; }

  /// \returns the sending time of the last read that found no newer revision.
  std::optional<TimePoint> upToDateAt() const { return UpToDateAt_; }

  /// \returns the newest change of a command among those kept, or nothing.
  /// \param Token the command's idempotency token.
  std::optional<Revision> findRevisionOfToken(std::string_view Token) const;

  /// \param AfterRevision a revision.
  /// \returns the changes that follow it, as far as they are kept.
  std::vector<ConfigLogEntry> entriesAfter(Revision AfterRevision) const;

  /// \returns the counters.
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
  /// \returns whether later changes can be applied to \c Candidate_.
  bool canApplyEntries() const { return IsConsistent_ || ConsistentFrom_; }
  Revision candidateRevision() const { return Candidate_->revision(); }
  TimePoint jittered(TimePoint Now, Duration Mean);

  /// What has been put together; in force once it is whole.
  ConfigurationPtr Candidate_;
  ConfigurationPtr Active_;
  bool IsConsistent_ = false;
  bool HasPublished_ = false;
  /// The revision at which the last reading of the head brought nothing.
  std::optional<Revision> StalledRevision_;
  /// The revision from which \c Candidate_ is consistent, if known.
  std::optional<Revision> ConsistentFrom_;
  bool NeedsHead_ = false; ///< Rows may be newer than any head read so far.
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
