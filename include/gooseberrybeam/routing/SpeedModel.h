/// \file
/// Estimates an engine's speed from completed operations.
#ifndef GOOSEBERRYBEAM_ROUTING_SPEEDMODEL_H
#define GOOSEBERRYBEAM_ROUTING_SPEEDMODEL_H

#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// Exponentially weighted moving averages of the speed of one engine.
class SpeedModel {
public:
  /// Updates the estimate from a completed prefill.
  /// \param Tokens prompt tokens computed, excluding cached ones.
  /// \param Elapsed the time on the engine.
  void learnPrefill(std::uint32_t Tokens, Duration Elapsed);

  /// Updates the estimate from a KV transfer into this engine.
  /// \param Pieces KV pieces transferred.
  /// \param Elapsed the time until the import completed.
  void learnTransfer(std::uint32_t Pieces, Duration Elapsed);

  /// Updates the estimate from a decode step.
  /// \param Batch the number of generations in the step.
  /// \param Step the duration of the step; ignored if zero.
  void learnStep(std::uint32_t Batch, Duration Step);

  /// \param Tokens prompt tokens to compute.
  /// \returns the expected duration.
  Duration prefillTime(std::uint32_t Tokens) const;

  /// \param Pieces KV pieces to transfer.
  /// \returns the expected duration.
  Duration transferTime(std::uint32_t Pieces) const;

  /// \param Batch the number of generations in the step.
  /// \returns the expected duration of a decode step.
  Duration stepTime(std::uint32_t Batch) const;

private:
  double PrefillMicros_ = 100;   ///< Microseconds per prompt token.
  double TransferMicros_ = 10e3; ///< Microseconds per KV piece.
  double StepFactor_ = 1;        ///< Ratio to the nominal step duration.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_SPEEDMODEL_H
