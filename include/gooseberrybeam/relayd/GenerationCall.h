/// \file
/// Runs one generation request on prefill and decode engines.
#ifndef GOOSEBERRYBEAM_RELAYD_GENERATIONCALL_H
#define GOOSEBERRYBEAM_RELAYD_GENERATIONCALL_H

#include "gooseberrybeam/relay/EventSplitter.h"
#include "gooseberrybeam/relayd/FailoverSearch.h"
#include "gooseberrybeam/relayd/RequestRetries.h"
#include "gooseberrybeam/relayd/ServerCall.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Asks the home instance for engines, runs the prefill, and streams the events
/// of the decode engine to the caller. A resumable stream continues on another
/// engine of the same software if its decode engine fails, or is silent and
/// another one is granted.
class GenerationCall {
public:
  /// \param Context state of the instance; outlives the call.
  /// \param Request the caller's request; outlives the call.
  /// \param Engine traits shared by all engines of the service.
  GenerationCall(RelayContext &Context, RelayRequest &Request,
                 const EngineTraits &Engine);

  /// \returns a task that completes when the response to the caller has ended.
  Task<void> run();

private:
  static constexpr std::uint32_t MaxPlacements = 4;

  /// Outcome of a prefill or decode call.
  enum class StepOutcome : std::uint8_t {
    Succeeded,
    Rejected, ///< The engine reported that it did not run it.
    Failed,   ///< The engine failed; the request may have run.
    Stopped,  ///< The caller disconnected or the deadline passed.
  };

  Task<void> runPlacements();
  bool continuesStream() const;
  const RequestId &stream() const;
  bool acceptOrigin(const PlacementGrant &Grant);
  std::optional<StreamOrigin> origin() const;
  Task<void> refuseUnknownOrigin();
  PlacementRequest makePlacementRequest() const;
  Task<bool> prepareKv(const PlacementGrant &Grant, std::string &KvSource);
  Task<StepOutcome> prefill(const ChosenServer &Engine, std::string &KvSource);
  Task<StepOutcome> decode(const ChosenServer &Engine,
                           const std::string &KvSource);
  Task<StepOutcome> relayEvents(const ChosenServer &Engine,
                                ServerResponse Response,
                                FailoverSearch *Search);
  Task<StepOutcome> relayFailure(const ChosenServer &Engine,
                                 ServerResponse Response);
  /// Outcome of passing events on.
  enum class WriteOutcome : std::uint8_t {
    Written,
    CallerGone,
    NoEvent, ///< The engine sent something else in the middle of the stream.
  };

  Task<WriteOutcome> writeEvents(EventSplitter &Splitter,
                                 FailoverSearch *Search);
  Task<bool> writeToCaller(std::string_view Events);
  Refusal makeStopRefusal() const;
  Task<StepOutcome> failStream(const ChosenServer &Engine,
                               std::string_view Reason, CallError Error);
  ServerTarget makeTarget(const ChosenServer &Engine) const;
  bool mayRetry(StepOutcome Outcome) const;
  bool isLeftAsSilent(const CallError &Error) const;
  Task<void> reportFailure(const ChosenServer &Engine, CallError Error);
  bool mayMoveDecode() const;
  std::unique_ptr<FailoverSearch>
  watch(const ChosenServer &Engine, StallFailover Failover, bool TakesRetry);
  void reportStall(const ChosenServer &Engine);
  std::optional<PlacementRequest>
  makeFailoverRequest(const ChosenServer &Engine, bool TakesRetry);
  bool acceptReplacement(const PlacementGrant &Grant, bool TakesRetry);
  void releaseReplacement();
  bool excludeUnusableEngines(const PlacementGrant &Grant);
  bool mayGoOn() const;
  std::optional<SoftwareVersionId>
  softwareOf(const ChosenServer &Engine, const PlacementGrant &Grant) const;
  bool isRequiredSoftware(const ChosenServer &Engine,
                          const PlacementGrant &Grant) const;
  bool isPaused(const ServerId &Server) const;
  bool mayCall(const ServerId &Server) const;
  void excludeForbiddenEngines(PlacementRequest &Placement) const;
  Duration timeUntilDecodeEngine() const;
  Task<std::optional<PlacementAnswer>> place();
  Task<std::optional<PlacementAnswer>> nextPlacement();
  void logEngineFailure(const ChosenServer &Engine,
                        std::string_view Reason) const;
  void reportProgress(const ChosenServer &Engine, bool IsDue);
  void report(GenerationStep Step, const ChosenServer &Engine,
              std::uint32_t Tokens = 0, Duration Elapsed = Duration::zero());
  void releaseHandleAsync(const BackendId &Address, const std::string &Handle);
  Task<void> relayDenial(const PlacementDenial &Denial);
  std::string msSinceArrival(TimePoint At) const;
  void recordAuthor(const ChosenServer &Engine);
  Task<void> finish(StepOutcome Outcome);

  RelayContext &Context_;
  RelayRequest &Request_;
  const EngineTraits &Engine_;
  RequestRetries Retries_;
  /// Names the reservation at the home: the request's id, or one of its own
  /// after a silent engine was left.
  RequestId BookingId_;
  std::uint32_t Searches_ = 0; ///< For a replacement of a silent engine.
  /// The engines for which a silent one was left.
  std::optional<PlacementGrant> Replacement_;
  std::vector<ServerId> ExcludedServers_;
  std::uint32_t StartedDecodes_ = 0; ///< Decode calls that may have run.
  std::uint32_t PrefillCalls_ = 0;   ///< All prefill calls.
  std::uint32_t Placements_ = 0;
  std::uint32_t EventsSent_ = 0; ///< Events written to the caller.
  std::optional<std::uint64_t> LastEventId_;
  HttpFields StreamFields_; ///< Of the response, until that has begun.
  TimePoint PlacedAt_;      ///< Time of the latest grant.
  TimePoint DecodeAt_;      ///< Start of the latest decode call.
  TimePoint PrefilledAt_;   ///< End of the latest successful prefill.
  TimePoint FirstEventAt_;
  TimePoint LastEventAt_;
  std::uint32_t EngineEvents_ = 0; ///< Events from the current decode engine.
  TimePoint EngineFirstEventAt_;   ///< Time of its first event.
  PlacementGrant Grant_;           ///< The latest.
  /// The software that began the stream; empty before that, and if unknown.
  SoftwareVersionId Software_;
  /// The software of the engines that have sent events, for the log.
  std::string Authors_;
  bool HasArrived_ = false; ///< Sent for decoding, or a prefill failed.
  bool MayHaveRun_ = false; ///< An engine may have run the request.
  bool IsComplete_ = false; ///< The stream reached its regular end.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_GENERATIONCALL_H
