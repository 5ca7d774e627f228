/// \file
/// Counts and latencies of one class or one organisation.
#ifndef TOOLS_GBLOAD_TALLY_H
#define TOOLS_GBLOAD_TALLY_H

#include "gbload/Answer.h"
#include "gbload/Work.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberry {

/// Durations whose quantiles are wanted.
class Quantiles {
public:
  /// \param Value a duration.
  void add(std::chrono::microseconds Value) { Values_.push_back(Value); }

  /// \param Part 0 to 1.
  /// \returns the quantile in milliseconds, 0 if nothing was added.
  double at(double Part) const;

private:
  std::vector<std::chrono::microseconds> Values_;
};

/// Counts and latencies of a set of requests.
struct Tally {
  std::uint64_t Sent_ = 0;
  std::uint64_t Answered_ = 0;
  std::uint64_t Good_ = 0;  ///< Answered within both targets.
  std::uint64_t Wrong_ = 0; ///< Answered, but not whole or not right.
  std::uint64_t Lost_ = 0;  ///< The connection failed.
  std::map<std::string, std::uint64_t> Refused_; ///< By code.
  std::map<std::string, std::uint64_t> Faults_;  ///< Wrong and lost, by kind.
  Quantiles First_;
  Quantiles Gaps_;

  /// Counts an answer.
  /// \param Result the answer.
  /// \param Class the class of its request.
  void add(const Answer &Result, const WorkClass &Class);

  /// \returns the part of the sent requests that were good, 1 if none.
  double goodPart() const;

  /// \returns the number of refusals.
  std::uint64_t refusals() const;

  /// \returns all of it.
  boost::json::object asJson() const;
};

} // namespace gooseberry

#endif // TOOLS_GBLOAD_TALLY_H
