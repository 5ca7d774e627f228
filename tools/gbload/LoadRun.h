/// \file
/// An open-loop load run.
#ifndef TOOLS_GBLOAD_LOADRUN_H
#define TOOLS_GBLOAD_LOADRUN_H

#include "gbload/InstanceWatch.h"
#include "gbload/Profile.h"
#include "gbload/Report.h"
#include "gbload/WorkRunner.h"

namespace gooseberry {

/// Settings of a load run.
struct LoadSettings {
  std::string ClusterFile_;    ///< File with the object after `READY`.
  double PerSecond_ = 60;      ///< Mean rate of arrivals.
  double Seconds_ = 10;        ///< Length of the arrivals.
  double Seed_ = 1;            ///< Seed of the draws.
  double HeavyFactor_ = 1;     ///< Factor on the first organisation's share.
  double LimitSeconds_ = 20;   ///< A request is given up after this.
  double ReleaseSeconds_ = 5;  ///< Time for KV memory to be released.
  std::string LostFrom_;       ///< Instances whose failures are forgiven.
  double EndedStandins_ = 0;   ///< Stand-ins that the run ends.
  bool AllowsRefusals_ = true; ///< Refusals are forgiven.
  double MeasuredPid_ = 0;     ///< Measures the first instance, if set.
  bool PrintsJson_ = false;    ///< Report as JSON.
};

/// Sends requests at their times, whether or not earlier ones are answered.
class LoadRun {
public:
  /// \param Context where it runs.
  /// \param Whole the cluster; outlives the run.
  /// \param Settings settings of the run.
  LoadRun(asio::io_context &Context, const Cluster &Whole,
          const LoadSettings &Settings);

  /// Runs to the end of the last request.
  asio::awaitable<void> run();

  /// \returns the report.
  const Report &report() const { return Report_; }

private:
  asio::awaitable<void> perform(Work Sent);
  asio::awaitable<void> repeat(Work Sent, Answer First);

  asio::io_context &Context_;
  const Cluster &Cluster_;
  LoadSettings Settings_;
  std::vector<WorkClass> Classes_;
  Profile Profile_;
  InstanceWatch Watch_;
  WorkRunner Runner_;
  Report Report_;
  std::uint64_t Open_ = 0;
};

} // namespace gooseberry

#endif // TOOLS_GBLOAD_LOADRUN_H
