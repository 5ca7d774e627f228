/// \file
/// An engine's speed, learned from what its generations took.
#ifndef GOOSEBERRYBEAM_ROUTING_SPEEDMODEL_H
#define GOOSEBERRYBEAM_ROUTING_SPEEDMODEL_H

#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// Exponentially weighted estimates of one engine's speed.
class SpeedModel {
public:
  /// Learns from a finished prefill.
  /// \param Tokens prompt tokens computed; those cached are left out.
  /// \param Elapsed time on the engine.
  void learnPrefill(std::uint32_t Tokens, Duration Elapsed);

  /// Learns from a transfer into this engine.
  /// \param Pieces KV pieces moved.
  /// \param Elapsed time until imported.
  void learnTransfer(std::uint32_t Pieces, Duration Elapsed);

  /// Learns from a decode step.
  /// \param Batch generations in the step.
  /// \param Step its duration.
  void learnStep(std::uint32_t Batch, Duration Step);

  /// \param Tokens prompt tokens to compute.
  /// \returns the expected time.
  Duration prefillTime(std::uint32_t Tokens) const;

  /// \param Pieces KV pieces to move.
  /// \returns the expected time.
  Duration transferTime(std::uint32_t Pieces) const;

  /// \param Batch generations in the step.
  /// \returns the expected duration of a decode step.
  Duration stepTime(std::uint32_t Batch) const;

private:
  double PrefillMicros_ = 100;   ///< For each token.
  double TransferMicros_ = 10e3; ///< For each piece.
  double StepFactor_ = 1;        ///< Against the nominal step of that batch.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_SPEEDMODEL_H
