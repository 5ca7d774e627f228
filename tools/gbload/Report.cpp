#include "gbload/Report.h"

#include <algorithm>
#include <numeric>

namespace gooseberry {
namespace {

constexpr double Percent = 100;

/// The instances may add a prefix that names the organisation.
bool isExecuted(const std::set<std::string> &Executed, const std::string &Key) {
  return Executed.contains(Key) ||
         std::ranges::any_of(Executed, [&](const std::string &Seen) {
           return Seen.ends_with(Key) && Seen.size() > Key.size() &&
                  std::isalnum(static_cast<unsigned char>(
                      Seen[Seen.size() - Key.size() - 1])) == 0;
         });
}

void addFault(std::vector<std::string> &Faults, std::uint64_t Count,
              std::string_view What) {
  if (Count > 0)
    Faults.push_back(std::to_string(Count) + " " + std::string(What));
}

} // namespace

Report::Report(const Cluster &Whole, const std::vector<WorkClass> &Classes)
    : Cluster_(Whole), Classes_(Classes), ByClass_(Classes.size()),
      ByOrganisation_(Whole.Keys_.size()),
      LostByInstance_(Whole.Callers_.size()) {}

void Report::add(const Work &Sent, const Answer &Result) {
  const auto &Class = Classes_[Sent.Class_];
  ByClass_[Sent.Class_].add(Result, Class);
  ByOrganisation_[Sent.Organisation_].add(Result, Class);
  if (Result.End_ == AnswerEnd::Lost)
    ++LostByInstance_[Sent.Instance_];
  if (Class.Kind_ != WorkKind::Write)
    return;
  if (Result.End_ == AnswerEnd::Right)
    AnsweredWrites_.insert(Sent.IdempotencyKey_);
  if (Result.Execution_ == "not_run" && !Sent.IsRepeated_)
    NotRunWrites_.insert(Sent.IdempotencyKey_);
}

void Report::addRepeat(const Work &Sent, const Answer &First,
                       const Answer &Second) {
  ++Repeats_;
  const bool AreBothRight =
      First.End_ == AnswerEnd::Right && Second.End_ == AnswerEnd::Right;
  if (Second.End_ == AnswerEnd::Right)
    AnsweredWrites_.insert(Sent.IdempotencyKey_);
  if (AreBothRight && First.Body_ != Second.Body_)
    ++DifferingRepeats_;
}

void Report::setRecord(const StandinRecord &Before,
                       const StandinRecord &After) {
  Record_ = After;
  Record_.PrefillTokens_ -=
      std::min(Before.PrefillTokens_, After.PrefillTokens_);
  Record_.WastedTokens_ -= std::min(Before.WastedTokens_, After.WastedTokens_);
}

std::vector<std::string> Report::faults(const Tolerance &Allowed) const {
  std::vector<std::string> Faults;
  std::uint64_t Wrong = 0;
  std::uint64_t Refused = 0;
  for (const auto &Entry : ByClass_) {
    Wrong += Entry.Wrong_;
    Refused += Entry.refusals();
  }
  const auto IsMissing = [this](const auto &Key) {
    return !isExecuted(Record_.Executed_, Key);
  };
  const auto IsRun = [this](const auto &Key) {
    return isExecuted(Record_.Executed_, Key);
  };
  const auto LostWrites = std::ranges::count_if(AnsweredWrites_, IsMissing);
  const auto FalseNotRun = std::ranges::count_if(NotRunWrites_, IsRun);
  addFault(Faults, Wrong, "answers not whole or not right");
  addFault(Faults, Record_.DoubleExecutions_, "writes run more than once");
  addFault(Faults, static_cast<std::uint64_t>(LostWrites),
           "writes answered but not run");
  addFault(Faults, static_cast<std::uint64_t>(FalseNotRun),
           "writes run though refused as not run");
  addFault(Faults, DifferingRepeats_, "repeats answered differently");
  addFault(Faults, Record_.HeldPieces_, "KV pieces still held");
  addFault(Faults, Record_.KeysSeen_, "requests showed a key to a backend");
  addFault(Faults, lostBeyond(Allowed.LostFrom_), "connections failed");
  if (Record_.Unreachable_ > Allowed.EndedStandins_)
    addFault(Faults, Record_.Unreachable_, "stand-ins not reachable");
  if (!Allowed.AllowsRefusals_)
    addFault(Faults, Refused, "requests refused");
  return Faults;
}

std::uint64_t Report::lostBeyond(const std::vector<std::string> &Ended) const {
  std::uint64_t Lost = 0;
  for (std::size_t I = 0; I < LostByInstance_.size(); ++I) {
    const auto &Address = Cluster_.Callers_[I];
    if (std::ranges::find(Ended, Address) == Ended.end())
      Lost += LostByInstance_[I];
  }
  return Lost;
}

std::size_t Report::worstOrganisation() const {
  const auto Worst = std::ranges::min_element(
      ByOrganisation_, {}, [](const Tally &Entry) { return Entry.goodPart(); });
  return static_cast<std::size_t>(Worst - ByOrganisation_.begin());
}

double Report::meanGoodPart() const {
  const auto Sum = std::accumulate(
      ByOrganisation_.begin(), ByOrganisation_.end(), 0.0,
      [](double Sum, const Tally &Entry) { return Sum + Entry.goodPart(); });
  return Sum / static_cast<double>(ByOrganisation_.size());
}

double Report::wastedPart() const {
  if (Record_.PrefillTokens_ == 0)
    return 0;
  return static_cast<double>(Record_.WastedTokens_) /
         static_cast<double>(Record_.PrefillTokens_);
}

void Report::print(std::FILE *Out) const {
  std::fprintf(Out, "%-13s %6s %8s %7s %6s %5s %10s %10s %9s %9s\n", "class",
               "sent", "answered", "goodput", "wrong", "lost", "first p50",
               "first p95", "gap p50", "gap p95");
  for (std::size_t I = 0; I < Classes_.size(); ++I) {
    const auto &Entry = ByClass_[I];
    std::fprintf(Out,
                 "%-13s %6lu %8lu %6.1f%% %6lu %5lu %7.1f ms %7.1f ms "
                 "%6.1f ms %6.1f ms\n",
                 Classes_[I].Name_.c_str(), Entry.Sent_, Entry.Answered_,
                 Percent * Entry.goodPart(), Entry.Wrong_, Entry.Lost_,
                 Entry.First_.at(0.5), Entry.First_.at(0.95),
                 Entry.Gaps_.at(0.5), Entry.Gaps_.at(0.95));
    for (const auto &[Code, Count] : Entry.Refused_)
      std::fprintf(Out, "  refused %-24s %6lu\n", Code.c_str(), Count);
    for (const auto &[Code, Count] : Entry.Faults_)
      std::fprintf(Out, "  failed  %-24s %6lu\n", Code.c_str(), Count);
  }
  const auto Worst = worstOrganisation();
  std::fprintf(
      Out, "worst-served organisation: %s, %.1f%% good (mean %.1f%%)\n",
      Cluster_.Keys_[Worst].Organisation_.c_str(),
      Percent * ByOrganisation_[Worst].goodPart(), Percent * meanGoodPart());
  std::fprintf(Out, "prefill: %lu tokens computed, %lu wasted (%.2f%%)\n",
               Record_.PrefillTokens_, Record_.WastedTokens_,
               Percent * wastedPart());
  std::fprintf(Out,
               "writes: %zu answered, %lu repeated, %zu executed, %lu double\n",
               AnsweredWrites_.size(), Repeats_, Record_.Executed_.size(),
               Record_.DoubleExecutions_);
}

boost::json::object Report::asJson() const {
  boost::json::object Classes;
  for (std::size_t I = 0; I < Classes_.size(); ++I)
    Classes[Classes_[I].Name_] = ByClass_[I].asJson();
  boost::json::object Organisations;
  for (std::size_t I = 0; I < ByOrganisation_.size(); ++I)
    Organisations[Cluster_.Keys_[I].Organisation_] =
        ByOrganisation_[I].asJson();
  const auto Worst = worstOrganisation();
  return {{"classes", std::move(Classes)},
          {"organisations", std::move(Organisations)},
          {"worst_organisation", Cluster_.Keys_[Worst].Organisation_},
          {"worst_good_part", ByOrganisation_[Worst].goodPart()},
          {"mean_good_part", meanGoodPart()},
          {"prefill_tokens", Record_.PrefillTokens_},
          {"wasted_prefill_tokens", Record_.WastedTokens_},
          {"held_pieces", Record_.HeldPieces_},
          {"double_executions", Record_.DoubleExecutions_},
          {"keys_seen", Record_.KeysSeen_}};
}

} // namespace gooseberry
