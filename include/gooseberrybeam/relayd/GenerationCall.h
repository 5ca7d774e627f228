/// \file
/// Relays a generation through prefill and decode engines.
#ifndef GOOSEBERRYBEAM_RELAYD_GENERATIONCALL_H
#define GOOSEBERRYBEAM_RELAYD_GENERATIONCALL_H

#include "gooseberrybeam/relay/EventSplitter.h"
#include "gooseberrybeam/relayd/ServerCall.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Asks the home for engines, has the prompt read, and passes the events on. A
/// resumable stream goes on at another engine if its engine fails.
class GenerationCall {
public:
  /// \param Context the instance; outlives the call.
  /// \param Request the request; outlives the call.
  /// \param Engine what the service's engines have in common.
  GenerationCall(RelayContext &Context, RelayRequest &Request,
                 const EngineTraits &Engine);

  /// \returns a task that ends when the caller was answered.
  Task<void> run();

private:
  /// How a step of the generation ended.
  enum class StepOutcome : std::uint8_t {
    Succeeded, ///< It succeeded.
    Rejected,  ///< The engine did not run it.
    Failed,    ///< The engine failed; it may have run.
    Stopped,   ///< The caller left or its time is up.
  };

  PlacementRequest makeAsk() const;
  Task<bool> prepareKv(const PlacementGrant &Grant, std::string &KvSource);
  Task<StepOutcome> prefill(const ChosenServer &Engine, std::string &KvSource);
  Task<StepOutcome> decode(const ChosenServer &Engine,
                           const std::string &KvSource);
  Task<StepOutcome> relayEvents(const ChosenServer &Engine,
                                ServerResponse Response);
  Task<StepOutcome> relayFailure(const ChosenServer &Engine,
                                 ServerResponse Response);
  Task<bool> writeEvents(EventSplitter &Splitter);
  ServerTarget makeTarget(const ChosenServer &Engine) const;
  bool mayRetry(StepOutcome Outcome) const;
  bool tryConsumeRetry();
  bool excludeLeavingEngines(const PlacementGrant &Grant);
  void logEngineFailure(const ChosenServer &Engine,
                        std::string_view Reason) const;
  void reportProgress(const ChosenServer &Engine, bool IsLast);
  void report(GenerationStep Step, const ChosenServer &Engine,
              std::uint32_t Tokens = 0, Duration Elapsed = Duration::zero());
  void releaseHandleAsync(const BackendId &Address, const std::string &Handle);
  Task<void> relayDenial(const PlacementDenial &Denial);
  std::string msSinceArrival(TimePoint At) const;
  Task<void> finish(StepOutcome Outcome);

  RelayContext &Context_;
  RelayRequest &Request_;
  const EngineTraits &Engine_;
  std::vector<ServerId> ExcludedServers_;
  std::uint32_t StartedDecodes_ = 0; ///< Decode engines that it was sent to.
  std::uint32_t DecodeCalls_ = 0;  ///< Calls to decode engines, also rejected.
  std::uint32_t PrefillCalls_ = 0; ///< Prefill calls made.
  std::uint32_t Placements_ = 0;
  std::uint32_t EventsSent_ = 0; ///< Passed on to the caller.
  std::optional<std::uint64_t> LastEventId_;
  TimePoint PlacedAt_;    ///< The last grant.
  TimePoint PrefilledAt_; ///< The last prefill.
  TimePoint FirstEventAt_;
  TimePoint LastEventAt_;
  std::uint32_t EngineEvents_ = 0; ///< Of the present engine.
  TimePoint EngineFirstEventAt_;   ///< Its first event.
  bool MayHaveRun_ = false;
  bool IsComplete_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_GENERATIONCALL_H
