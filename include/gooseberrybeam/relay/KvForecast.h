/// \file
/// Forecasts the KV memory that the streams of an engine need together.
#ifndef GOOSEBERRYBEAM_RELAY_KVFORECAST_H
#define GOOSEBERRYBEAM_RELAY_KVFORECAST_H

#include <vector>

namespace gooseberry {

/// A stream on an engine.
struct KvStream {
  double HeldTokens_ = 0;      ///< Prompt and output so far.
  double RemainingTokens_ = 0; ///< Expected further output.
};

/// Forecasts the peak KV memory of an engine. Streams of one engine grow at the
/// same rate and free their memory when they end, so the peak occurs just
/// before one of them ends.
/// \returns the maximum number of tokens that \p Streams are expected to hold
/// at the same time.
double forecastPeakTokens(std::vector<KvStream> Streams);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_KVFORECAST_H
