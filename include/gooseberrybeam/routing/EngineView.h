/// \file
/// An instance's estimate of the load of one engine.
#ifndef GOOSEBERRYBEAM_ROUTING_ENGINEVIEW_H
#define GOOSEBERRYBEAM_ROUTING_ENGINEVIEW_H

#include "gooseberrybeam/routing/EngineInfo.h"
#include "gooseberrybeam/routing/SpeedModel.h"

#include <array>
#include <cstdint>
#include <vector>

namespace gooseberry {

/// Combines the load that this instance placed on an engine with the load that
/// others placed there, taken from the engine's delayed reports.
class EngineView {
public:
  /// \param Info the properties of the engine.
  explicit EngineView(EngineInfo Info) : Info_(std::move(Info)) {}

  /// A decode slot and KV memory held from placement to the end of the decode.
  struct DecodeReservation {
    std::uint64_t Id_ = 0;
    std::uint32_t Pieces_ = 0;
    TimePoint LatestEnd_;     ///< Upper bound, from the maximum output length.
    bool IsImported_ = false; ///< Included in the engine's load reports.
  };

  const EngineInfo &info() const { return Info_; }
  void setInfo(EngineInfo Info) { Info_ = std::move(Info); }
  SpeedModel &speed() { return Speed_; }
  const SpeedModel &speed() const { return Speed_; }

  /// \returns whether new requests may be placed here: the engine is neither
  /// draining nor backing off, and idle if it is being probed after a failure.
  /// \param Now the current time.
  bool isAvailable(TimePoint Now) const;
  /// \param IsDraining whether it accepts no new requests.
  void setDraining(bool IsDraining) { IsDraining_ = IsDraining; }

  /// Starts a back-off that doubles with each failure, up to a limit;
  /// afterwards the engine is probed with one request at a time.
  /// \param Now the current time.
  void noteFailure(TimePoint Now);
  /// Resets the failure count.
  void noteSuccess();

  /// Updates the estimate of the load that others placed here.
  /// \param Report the engine's report.
  /// \param Now when it arrived.
  void noteReport(const LoadReport &Report, TimePoint Now);

  /// Adds a prefill to the load.
  /// \param Tokens prompt tokens to compute here.
  /// \param Now the current time.
  void addPrefill(std::uint32_t Tokens, TimePoint Now);
  /// Removes a prefill that has ended or will not run.
  /// \param Tokens the count passed to `addPrefill`.
  /// \param Now the current time.
  void removePrefill(std::uint32_t Tokens, TimePoint Now);
  /// \param Now the current time.
  /// \returns when all prefills on this engine are expected to have ended.
  TimePoint prefillFreeAt(TimePoint Now) const;
  /// \returns the number of this instance's unfinished prefills.
  std::uint32_t prefills() const { return Prefills_; }

  /// \param Reservation the slot and memory to hold.
  void reserveDecode(const DecodeReservation &Reservation) {
    Reservations_.push_back(Reservation);
  }
  /// Marks a reservation as included in the engine's load reports.
  /// \param Id the id of the reservation.
  /// \param LatestEnd the new upper bound of its end.
  /// \param Now the current time.
  void markImported(std::uint64_t Id, TimePoint LatestEnd, TimePoint Now);
  /// Frees a reservation.
  /// \param Id the id of the reservation; ignored if unknown.
  /// \param Now the current time.
  void release(std::uint64_t Id, TimePoint Now);
  /// \returns the number of this instance's unfinished decodes.
  std::uint32_t decodeReservations() const {
    return static_cast<std::uint32_t>(Reservations_.size());
  }
  /// \returns the number of decodes that others placed here, by the last
  /// report.
  std::uint32_t externalDecodes() const { return ExternalDecodes_; }

  /// Treats all decode slots as occupied until the next report.
  void markFull() { ExternalDecodes_ = Info_.DecodeSlots_; }

  /// Free decode slots and KV pieces.
  struct FreeCapacity {
    int Slots_ = 0;  ///< Negative if overcommitted.
    int Pieces_ = 0; ///< Negative if overcommitted.
  };

  /// \param Now the current time.
  /// \param Time a time not before \p Now.
  /// \returns the capacity expected to be free at \p Time.
  FreeCapacity freeCapacityAt(TimePoint Now, TimePoint Time) const;

private:
  /// The load from this instance at a past time, which is subtracted from a
  /// delayed report.
  struct Sample {
    TimePoint Time_;
    std::uint32_t Active_ = 0;
    std::uint32_t Pieces_ = 0;
    std::uint32_t Tokens_ = 0;
  };
  static constexpr std::size_t SampleCount = 16;

  void recordSample(TimePoint Now);
  Sample sampleAt(TimePoint Time) const;

  EngineInfo Info_;
  SpeedModel Speed_;
  std::vector<DecodeReservation> Reservations_;
  std::array<Sample, SampleCount> Samples_{};
  std::size_t NextSample_ = 0;
  std::uint32_t Prefills_ = 0;
  std::uint32_t PrefillTokens_ = 0;
  TimePoint PrefillStart_; ///< Start of the running prefill.
  std::uint32_t ExternalDecodes_ = 0;
  std::uint32_t ExternalPieces_ = 0;
  std::uint32_t ExternalPrefillTokens_ = 0;
  std::uint32_t Failures_ = 0;
  TimePoint BackoffUntil_;
  bool IsDraining_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_ENGINEVIEW_H
