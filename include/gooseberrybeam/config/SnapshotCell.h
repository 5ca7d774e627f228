/// \file
/// Publishes immutable snapshots to concurrent readers.
#ifndef GOOSEBERRYBEAM_CONFIG_SNAPSHOTCELL_H
#define GOOSEBERRYBEAM_CONFIG_SNAPSHOTCELL_H

#include "gooseberrybeam/config/ReadCopyUpdate.h"

#include <atomic>
#include <cassert>
#include <memory>
#include <utility>

namespace gooseberry {

/// Holds the newest snapshot. Reading takes no lock, and a reader may keep the
/// snapshot that it read for any length of time.
/// \tparam T the type of the snapshot.
template <typename T> class SnapshotCell {
public:
  using Pointer = std::shared_ptr<const T>;

  /// \param Initial the first snapshot, not null.
  explicit SnapshotCell(Pointer Initial)
      : Holder_(new Pointer(std::move(Initial))) {
    assert(*Holder_.load(std::memory_order_relaxed));
  }
  SnapshotCell(const SnapshotCell &) = delete;
  SnapshotCell &operator=(const SnapshotCell &) = delete;
  ~SnapshotCell() { delete Holder_.load(std::memory_order_relaxed); }

  /// \returns the newest snapshot. Thread-safe.
  Pointer read() const {
    const ReadSection Section(this);
    return *Holder_.load(std::memory_order_acquire);
  }

  /// Publishes a snapshot. Blocks until all concurrent readers have copied
  /// their pointer to its predecessor.
  /// \param Next the snapshot, not null.
  void publish(Pointer Next) {
    assert(Next);
    const auto *Previous = Holder_.exchange(new Pointer(std::move(Next)),
                                            std::memory_order_acq_rel);
    waitForReaders(this);
    delete Previous;
  }

private:
  std::atomic<const Pointer *> Holder_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_SNAPSHOTCELL_H
