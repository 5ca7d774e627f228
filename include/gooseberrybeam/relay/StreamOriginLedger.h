/// \file
/// Remembers what began the streams that callers may take up again.
#ifndef GOOSEBERRYBEAM_RELAY_STREAMORIGINLEDGER_H
#define GOOSEBERRYBEAM_RELAY_STREAMORIGINLEDGER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/StreamOrigin.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// The origins that a home knows. An origin is kept for `Lifetime` after the
/// last sign of its stream. A stream with two different origins has none that
/// is known.
class StreamOriginLedger {
public:
  /// How long a caller may take up a stream after its last event.
  static constexpr Duration Lifetime = std::chrono::seconds(20);
  /// The same after its regular end: its caller may have missed that, if its
  /// instance was lost at that moment.
  static constexpr Duration EndedLifetime = std::chrono::seconds(3);
  /// A stream that lasts longer is saved again, so that what is saved may be
  /// overwritten after `Lifetime`.
  static constexpr Duration SaveInterval = Lifetime / 2;

  /// Records the origin of a stream that produces events.
  /// \param Now the current time.
  void record(const StreamOrigin &Origin, TimePoint Now);
  /// Records that a stream has come to its regular end.
  /// \param Stream the stream.
  /// \param Now the current time.
  void onEnded(const RequestId &Stream, TimePoint Now);
  /// Adds what homes have saved; it need not be saved again.
  /// \param Saved origins, in any order.
  /// \param Now the current time.
  void merge(std::span<const StreamOrigin> Saved, TimePoint Now);
  /// \param Stream a stream that a caller takes up.
  /// \param Now the current time.
  /// \returns its origin, or none if that is not known.
  std::optional<StreamOrigin> find(const RequestId &Stream, TimePoint Now);
  /// Takes origins to save, and forgets those whose lifetime is over.
  /// \param MaxCount how many at most.
  /// \param Now the current time.
  /// \returns the origins that are not saved yet, or not lately.
  std::vector<StreamOrigin> takeUnsaved(std::size_t MaxCount, TimePoint Now);
  /// Gives back origins that could not be saved.
  /// \param Origins what `takeUnsaved` returned.
  void giveBack(std::span<const StreamOrigin> Origins);
  /// \returns the number of streams with a record.
  std::size_t size() const { return Entries_.size(); }

private:
  struct Entry {
    StreamOrigin Origin_;
    TimePoint SeenAt_;
    std::optional<TimePoint> SavedAt_; ///< None if not saved here.
    bool IsSavedElsewhere_ = false;    ///< Read from the store, not seen here.
  };

  static void dispute(Entry &Known);
  static bool mustSave(const Entry &Each, TimePoint Now);

  std::unordered_map<RequestId, Entry> Entries_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_STREAMORIGINLEDGER_H
