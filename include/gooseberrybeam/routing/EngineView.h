/// \file
/// One engine as this instance sees it: what it placed there, and what the
/// engine's lagging reports say of the others.
#ifndef GOOSEBERRYBEAM_ROUTING_ENGINEVIEW_H
#define GOOSEBERRYBEAM_ROUTING_ENGINEVIEW_H

#include "gooseberrybeam/routing/EngineInfo.h"
#include "gooseberrybeam/routing/SpeedModel.h"

#include <array>
#include <cstdint>
#include <vector>

namespace gooseberry {

/// Mutable view of one engine.
class EngineView {
public:
  /// \param Info what is known of it.
  explicit EngineView(EngineInfo Info) : Info_(std::move(Info)) {}

  /// A decode placed here, from its reservation to its end.
  struct DecodeReservation {
    std::uint64_t Id_ = 0;
    std::uint32_t Pieces_ = 0;
    TimePoint LatestEnd_;     ///< Upper bound, from its maximum length.
    bool IsImported_ = false; ///< Seen by the engine's reports.
  };

  const EngineInfo &info() const { return Info_; }
  void setInfo(EngineInfo Info) { Info_ = std::move(Info); }
  SpeedModel &speed() { return Speed_; }
  const SpeedModel &speed() const { return Speed_; }

  /// \returns whether new work may be placed here.
  /// \param Now the current time.
  bool isAvailable(TimePoint Now) const;
  /// \param IsDraining whether it takes no new work.
  void setDraining(bool IsDraining) { IsDraining_ = IsDraining; }

  /// Backs off after a failure, longer each time; then tries with one request.
  /// \param Now the current time.
  void noteFailure(TimePoint Now);
  /// Ends the backing off.
  void noteSuccess();

  /// \param Report the engine's report.
  /// \param Now when it arrived.
  void noteReport(const LoadReport &Report, TimePoint Now);

  /// \param Tokens prompt tokens to compute here.
  /// \param Now the current time.
  void addPrefill(std::uint32_t Tokens, TimePoint Now);
  /// \param Tokens what was added.
  /// \param Now the current time.
  void removePrefill(std::uint32_t Tokens, TimePoint Now);
  /// \param Now the current time.
  /// \returns when the prefills placed here end.
  TimePoint prefillFreeAt(TimePoint Now) const;
  /// \returns prefills placed here that have not ended.
  std::uint32_t prefills() const { return Prefills_; }

  /// \param Reservation the decode to be held a slot and memory.
  void reserveDecode(const DecodeReservation &Reservation) {
    Reservations_.push_back(Reservation);
  }
  /// \param Id a booking's ticket.
  /// \param LatestEnd the new upper bound of its end.
  /// \param Now the current time.
  void markImported(std::uint64_t Id, TimePoint LatestEnd, TimePoint Now);
  /// \param Id a booking's ticket.
  /// \param Now the current time.
  void release(std::uint64_t Id, TimePoint Now);
  /// \returns decodes placed here that have not ended.
  std::uint32_t decodeReservations() const {
    return static_cast<std::uint32_t>(Reservations_.size());
  }
  /// \returns decodes seen in reports that others placed here.
  std::uint32_t externalDecodes() const { return ExternalDecodes_; }

  /// Takes the engine to be full until its next report.
  void markFull() { ExternalDecodes_ = Info_.DecodeSlots_; }

  /// Slots and KV pieces.
  struct FreeCapacity {
    int Slots_ = 0;  ///< May be negative.
    int Pieces_ = 0; ///< May be negative.
  };

  /// \param Now the current time.
  /// \param Time a time to come.
  /// \returns what is expected to be free then.
  FreeCapacity freeCapacityAt(TimePoint Now, TimePoint Time) const;

private:
  /// Own load at a past time, to take it out of a lagging report.
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
  TimePoint PrefillStart_; ///< When the running prefill began.
  std::uint32_t ExternalDecodes_ = 0;
  std::uint32_t ExternalPieces_ = 0;
  std::uint32_t ExternalPrefillTokens_ = 0;
  std::uint32_t Failures_ = 0;
  TimePoint BackoffUntil_;
  bool IsDraining_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_ENGINEVIEW_H
