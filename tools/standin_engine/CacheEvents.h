/// \file
/// Log of cache events, published late and with losses.
#ifndef TOOLS_STANDIN_ENGINE_CACHEEVENTS_H
#define TOOLS_STANDIN_ENGINE_CACHEEVENTS_H

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string_view>

namespace gooseberry {

/// Keeps the latest cache events.
class CacheEvents {
public:
  /// \param Delay time until an event is visible.
  /// \param LossPercent events that leave a gap, out of 100.
  CacheEvents(std::chrono::milliseconds Delay, double LossPercent)
      : Delay_(Delay), LossPercent_(LossPercent) {}

  /// Records an event.
  /// \param Kind `stored` or `evicted`.
  /// \param Prefix hash of the prefix.
  /// \param Tokens its length.
  void add(std::string_view Kind, std::uint64_t Prefix, std::uint64_t Tokens);

  /// \param After sequence number of the last event that the caller knows.
  /// \returns the body of `GET /v1/cache/events`.
  boost::json::object since(std::uint64_t After) const;

  /// \param Percent events that leave a gap from now on, out of 100.
  void setLoss(double Percent) { LossPercent_ = Percent; }

private:
  struct Event {
    std::uint64_t Seq_ = 0;
    std::string_view Kind_;
    std::uint64_t Prefix_ = 0;
    std::uint64_t Tokens_ = 0;
    std::chrono::steady_clock::time_point VisibleAt_;
  };

  std::chrono::milliseconds Delay_;
  double LossPercent_;
  std::uint64_t NextSeq_ = 1;
  std::minstd_rand Random_{1};
  std::deque<Event> Events_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_CACHEEVENTS_H
