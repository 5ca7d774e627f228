#include "gooseberrybeam/relay/KvForecast.h"

#include <algorithm>

namespace gooseberry {

double forecastPeakTokens(std::vector<KvStream> Streams) {
  std::sort(Streams.begin(), Streams.end(),
            [](const KvStream &A, const KvStream &B) {
              return A.RemainingTokens_ < B.RemainingTokens_;
            });
  double HeldTokens = 0;
  for (const KvStream &Each : Streams)
    HeldTokens += Each.HeldTokens_;
  double PeakTokens = 0;
  auto RunningStreams = static_cast<double>(Streams.size());
  for (const KvStream &Each : Streams) {
    PeakTokens = std::max(PeakTokens,
                          HeldTokens + RunningStreams * Each.RemainingTokens_);
    HeldTokens -= Each.HeldTokens_;
    RunningStreams -= 1;
  }
  return PeakTokens;
}

} // namespace gooseberry
