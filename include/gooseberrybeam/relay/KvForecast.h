/// \file
/// Forecasts the memory that the streams of one engine will need together.
#ifndef GOOSEBERRYBEAM_RELAY_KVFORECAST_H
#define GOOSEBERRYBEAM_RELAY_KVFORECAST_H

#include <vector>

namespace gooseberry {

/// One stream on an engine, in tokens.
struct KvStream {
  double HeldTokens_ = 0;      ///< In memory now: prompt and output so far.
  double RemainingTokens_ = 0; ///< Output expected still to come.
};

/// Streams of one engine grow at the same pace and free their memory when they
/// end, so the peak falls right before one of them ends.
/// \param Streams all streams of the engine.
/// \returns the most tokens that they are expected to hold at once.
double forecastPeakTokens(std::vector<KvStream> Streams);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_KVFORECAST_H
