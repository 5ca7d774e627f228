/// \file
/// One run of gbctl against the instances it was given.
#ifndef GOOSEBERRYBEAM_TOOLS_GBCTL_SESSION_H
#define GOOSEBERRYBEAM_TOOLS_GBCTL_SESSION_H

#include "gbctl/ExitCode.h"
#include "gbctl/OperatorClient.h"
#include "gbctl/Options.h"
#include "gooseberrybeam/config/ConfigFault.h"
#include "gooseberrybeam/config/Configuration.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gooseberry {

/// The configuration that an instance holds.
struct HeldConfiguration {
  Configuration Configuration_;
  boost::json::value Document_;
};

/// Calls instances in turn until one answers, and reports outcomes.
class Session {
public:
  /// \param Given the command line.
  explicit Session(const Options &Given) : Given_(Given) {}

  /// \returns the command line.
  const Options &options() const { return Given_; }

  /// Reads from the first instance that answers.
  /// \param Target a path.
  /// \returns the answer's body, or nothing after reporting why.
  std::optional<boost::json::value> get(std::string_view Target);

  /// \returns the configuration, or nothing after reporting why.
  std::optional<HeldConfiguration> getConfiguration();

  /// Sends a change and reports its outcome. If a reply is lost the next
  /// instance is asked with the same token, which is safe.
  /// \param Delta the change.
  /// \param Base the revision that it is based on.
  /// \param IsStrict whether any change since then is a conflict.
  ExitCode change(std::span<const EntityChange> Delta, Revision Base,
                  bool IsStrict);

  /// Reports faults of a document or change.
  /// \param Faults the faults.
  ExitCode reportFaults(const ConfigFaults &Faults) const;

  /// \returns how the last failed call is to be reported by the exit code.
  ExitCode failure() const { return Failure_; }

private:
  ExitCode reportOutcome(const OperatorReply &Reply, Revision Base) const;
  ExitCode reportUnknown(Revision Base) const;
  void reportError(const OperatorReply &Reply);

  const Options &Given_;
  ExitCode Failure_ = ExitCode::NotReached;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TOOLS_GBCTL_SESSION_H
