/// \file
/// A network in virtual time that loses, delays, repeats and reorders.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_FAKENETWORK_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_FAKENETWORK_H

#include "support/Scheduler.h"

#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace gooseberry {

/// How messages fare.
struct NetworkFaults {
  double Drop_ = 0;
  double Duplicate_ = 0;
  Duration DelayLeast_ = std::chrono::microseconds(500);
  Duration DelayMost_ = std::chrono::microseconds(1500);
};

/// Delivers functions between named ends.
class FakeNetwork {
public:
  /// \param Clock the virtual clock.
  /// \param Seed seeds every random choice.
  FakeNetwork(Scheduler &Clock, std::uint64_t Seed)
      : Clock_(Clock), Random_(Seed) {}

  NetworkFaults Faults_;

  /// Cuts both ways between two ends, or joins them again.
  void setCut(const std::string &Left, const std::string &Right, bool IsCut) {
    for (const auto &Pair : {std::pair(Left, Right), std::pair(Right, Left)})
      if (IsCut)
        Cuts_.insert(Pair);
      else
        Cuts_.erase(Pair);
  }

  /// \param Deliver runs at the receiver, zero, one or two times.
  void send(const std::string &From, const std::string &To,
            const std::function<void()> &Deliver) {
    ++Sent_;
    const int Copies = chance(Faults_.Duplicate_) ? 2 : 1;
    for (int I = 0; I < Copies; ++I) {
      if (Cuts_.contains({From, To}) || chance(Faults_.Drop_))
        continue;
      std::uniform_int_distribution<std::int64_t> Delay(
          Faults_.DelayLeast_.count(), Faults_.DelayMost_.count());
      Clock_.after(Duration(Delay(Random_)), Deliver);
    }
  }

  /// \returns how many messages were sent.
  std::uint64_t sent() const { return Sent_; }

private:
  bool chance(double Probability) {
    return std::uniform_real_distribution<double>(0, 1)(Random_) < Probability;
  }

  Scheduler &Clock_;
  std::mt19937_64 Random_;
  std::set<std::pair<std::string, std::string>> Cuts_;
  std::uint64_t Sent_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_FAKENETWORK_H
