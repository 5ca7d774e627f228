#include "gooseberrybeam/relay/KvForecast.h"

#include <algorithm>

namespace gooseberry {

double forecastPeak(std::vector<KvStream> Streams) {
  std::sort(
      Streams.begin(), Streams.end(),
      [](const KvStream &A, const KvStream &B) { return A.Left_ < B.Left_; });
  double Held = 0;
  for (const KvStream &Each : Streams)
    Held += Each.Held_;
  double Peak = 0;
  auto Running = static_cast<double>(Streams.size());
  for (const KvStream &Each : Streams) {
    Peak = std::max(Peak, Held + Running * Each.Left_);
    Held -= Each.Held_;
    Running -= 1;
  }
  return Peak;
}

} // namespace gooseberry
