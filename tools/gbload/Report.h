/// \file
/// Report of a load run.
#ifndef TOOLS_GBLOAD_REPORT_H
#define TOOLS_GBLOAD_REPORT_H

#include "gbload/StandinCheck.h"
#include "gbload/Tally.h"

#include <cstdio>
#include <set>

namespace gooseberry {

/// Which failures the verdict forgives, since the run provokes them.
struct Tolerance {
  std::vector<std::string> LostFrom_; ///< Instances that were ended.
  std::uint64_t EndedStandins_ = 0;   ///< Stand-ins that were ended.
  bool AllowsRefusals_ = true;        ///< Typed refusals.
};

/// Collects answers and judges the run.
class Report {
public:
  /// \param Whole the cluster; outlives the report.
  /// \param Classes the classes of work; outlive the report.
  Report(const Cluster &Whole, const std::vector<WorkClass> &Classes);

  /// Counts an answer.
  /// \param Sent the request.
  /// \param Result what came of it.
  void add(const Work &Sent, const Answer &Result);

  /// Counts the answer to a repeated write.
  /// \param Sent the request.
  /// \param First answer to the first sending.
  /// \param Second answer to the repeat.
  void addRepeat(const Work &Sent, const Answer &First, const Answer &Second);

  /// Takes what the stand-ins recorded, before and after the run.
  /// \param Before at the start.
  /// \param After at the end.
  void setRecord(const StandinRecord &Before, const StandinRecord &After);

  /// \param Allowed failures that are forgiven.
  /// \returns what is not right, empty if all is.
  std::vector<std::string> faults(const Tolerance &Allowed) const;

  /// \param Out where the text goes.
  void print(std::FILE *Out) const;

  /// \returns the report for programs.
  boost::json::object asJson() const;

private:
  std::size_t worstOrganisation() const;
  double meanGoodPart() const;
  std::uint64_t lostBeyond(const std::vector<std::string> &Ended) const;
  double wastedPart() const;

  const Cluster &Cluster_;
  const std::vector<WorkClass> &Classes_;
  std::vector<Tally> ByClass_;
  std::vector<Tally> ByOrganisation_;
  std::set<std::string> AnsweredWrites_;
  std::set<std::string> NotRunWrites_;
  std::uint64_t Repeats_ = 0;
  std::uint64_t DifferingRepeats_ = 0;
  std::vector<std::uint64_t> LostByInstance_;
  StandinRecord Record_;
};

} // namespace gooseberry

#endif // TOOLS_GBLOAD_REPORT_H
