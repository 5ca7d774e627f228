/// \file
/// Checks a history of admitted tokens against a rate and a burst.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_RATECHECKER_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_RATECHECKER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/limits/Share.h"

#include <algorithm>
#include <map>
#include <vector>

namespace gooseberry {

/// Records the admissions of one organisation on all instances.
class RateChecker {
public:
  /// \param Time the time of admission.
  /// \param Tokens the number of tokens finally used.
  void admit(TimePoint Time, std::int64_t Tokens) {
    TokensByTime_[Time] += Tokens;
  }

  /// \param Total the limit.
  /// \returns the largest excess, in tokens, of any window of length t over
  /// burst + rate * t; not positive if the limit was kept.
  double worstExcess(const Limit &Total) const {
    // The largest excess equals the largest debt of a single token bucket that
    // admits all requests.
    const double Rate = double(Total.RatePerSecond_) / MilliPerToken;
    const double Burst = double(Total.Burst_) / MilliPerToken;
    double Level = Burst;
    double Worst = 0;
    TimePoint Last;
    for (const auto &[Time, Tokens] : TokensByTime_) {
      Level = std::min(Burst, Level + Rate * asSeconds(Time - Last));
      Level -= double(Tokens);
      Last = Time;
      Worst = std::max(Worst, -Level);
    }
    return Worst;
  }

  /// \returns the total number of admitted tokens.
  std::int64_t sum() const {
    std::int64_t Sum = 0;
    for (const auto &[Time, Tokens] : TokensByTime_)
      Sum += Tokens;
    return Sum;
  }

private:
  std::map<TimePoint, std::int64_t> TokensByTime_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_RATECHECKER_H
