#include "gbload/Tally.h"

#include <algorithm>
#include <numeric>

namespace gooseberry {
namespace {

constexpr double MicrosPerMilli = 1000;

bool isGood(const Answer &Result, const WorkClass &Class) {
  if (Class.Kind_ != WorkKind::Generate)
    return Result.First_ <= Class.FirstTarget_;
  const auto Tokens = static_cast<std::int64_t>(Result.Tokens_);
  if (Result.Gaps_.empty())
    return Result.Total_ <= Class.FirstTarget_ + Class.TokenTarget_ * Tokens;
  return Result.First_ <= Class.FirstTarget_ &&
         Result.Total_ - Result.First_ <= Class.TokenTarget_ * Tokens;
}

boost::json::object
renderCounts(const std::map<std::string, std::uint64_t> &Counts) {
  boost::json::object Out;
  for (const auto &[Name, Count] : Counts)
    Out[Name] = Count;
  return Out;
}

} // namespace

double Quantiles::at(double Part) const {
  if (Values_.empty())
    return 0;
  auto Sorted = Values_;
  const auto Rank =
      static_cast<std::size_t>(Part * static_cast<double>(Sorted.size() - 1));
  const auto Place = Sorted.begin() + static_cast<std::ptrdiff_t>(Rank);
  std::nth_element(Sorted.begin(), Place, Sorted.end());
  return static_cast<double>(Place->count()) / MicrosPerMilli;
}

void Tally::add(const Answer &Result, const WorkClass &Class) {
  ++Sent_;
  if (Result.End_ == AnswerEnd::Refused) {
    ++Refused_[Result.Code_];
    return;
  }
  if (Result.End_ != AnswerEnd::Right) {
    ++(Result.End_ == AnswerEnd::Wrong ? Wrong_ : Lost_);
    ++Faults_[Result.Code_];
    return;
  }
  ++Answered_;
  Good_ += isGood(Result, Class) ? 1 : 0;
  if (Class.Kind_ != WorkKind::Generate || !Result.Gaps_.empty())
    First_.add(Result.First_);
  for (const auto Gap : Result.Gaps_)
    Gaps_.add(Gap);
}

double Tally::goodPart() const {
  if (Sent_ == 0)
    return 1;
  return static_cast<double>(Good_) / static_cast<double>(Sent_);
}

std::uint64_t Tally::refusals() const {
  return std::accumulate(
      Refused_.begin(), Refused_.end(), std::uint64_t{0},
      [](std::uint64_t Sum, const auto &Entry) { return Sum + Entry.second; });
}

boost::json::object Tally::asJson() const {
  return {{"sent", Sent_},
          {"answered", Answered_},
          {"good", Good_},
          {"wrong", Wrong_},
          {"lost", Lost_},
          {"refused", renderCounts(Refused_)},
          {"faults", renderCounts(Faults_)},
          {"first_ms_p50", First_.at(0.5)},
          {"first_ms_p95", First_.at(0.95)},
          {"gap_ms_p50", Gaps_.at(0.5)},
          {"gap_ms_p95", Gaps_.at(0.95)}};
}

} // namespace gooseberry
