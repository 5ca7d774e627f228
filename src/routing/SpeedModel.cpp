#include "gooseberrybeam/routing/SpeedModel.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// Weight of a new observation in a moving average.
constexpr double Gain = 0.2;
/// Shorter prompts are ignored because they say little about the time per
/// token.
constexpr std::uint32_t MinLearnedTokens = 64;
/// Nominal duration of a decode step without the part that depends on the batch
/// size, in microseconds.
constexpr double NominalStepMicros = 15e3;
/// Nominal time that each generation in the batch adds to a step, in
/// microseconds.
constexpr double NominalBatchMicros = 500;

void blend(double &Estimate, double Observed) {
  Estimate += Gain * (Observed - Estimate);
}

double nominalStep(std::uint32_t Batch) {
  return NominalStepMicros + NominalBatchMicros * Batch;
}

Duration asDuration(double Micros) {
  return Duration(static_cast<Duration::rep>(Micros));
}

} // namespace

void SpeedModel::learnPrefill(std::uint32_t Tokens, Duration Elapsed) {
  if (Tokens >= MinLearnedTokens)
    blend(PrefillMicros_, static_cast<double>(Elapsed.count()) / Tokens);
}

void SpeedModel::learnTransfer(std::uint32_t Pieces, Duration Elapsed) {
  if (Pieces > 0)
    blend(TransferMicros_, static_cast<double>(Elapsed.count()) / Pieces);
}

void SpeedModel::learnStep(std::uint32_t Batch, Duration Step) {
  if (Step > Duration::zero())
    blend(StepFactor_, static_cast<double>(Step.count()) / nominalStep(Batch));
}

Duration SpeedModel::prefillTime(std::uint32_t Tokens) const {
  return asDuration(PrefillMicros_ * std::max(Tokens, 1U));
}

Duration SpeedModel::transferTime(std::uint32_t Pieces) const {
  return asDuration(TransferMicros_ * Pieces);
}

Duration SpeedModel::stepTime(std::uint32_t Batch) const {
  return asDuration(StepFactor_ * nominalStep(Batch));
}

} // namespace gooseberry
