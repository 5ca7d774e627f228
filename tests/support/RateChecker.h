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

/// Admissions of one organisation over all instances, whoever served them.
class RateChecker {
public:
  /// \param Time when the tokens were admitted.
  /// \param Tokens how many were used in the end.
  void admit(TimePoint Time, std::int64_t Tokens) {
    TokensByTime_[Time] += Tokens;
  }

  /// \param Total the limit.
  /// \returns the largest excess, in tokens, over burst + rate * t of any
  /// window; at most 0 if the limit held.
  double worstExcess(const Limit &Total) const {
    // The excess of a window is the level missing in one bucket for all.
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

  /// \returns the sum admitted.
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
