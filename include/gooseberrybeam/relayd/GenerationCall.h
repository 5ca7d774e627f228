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
  enum class StepEnd : std::uint8_t {
    Done,     ///< It succeeded.
    Rejected, ///< The engine did not run it.
    Broken,   ///< The engine failed; it may have run.
    Stopped,  ///< The caller left or its time is up.
  };

  PlacementRequest makeAsk() const;
  Task<bool> prepare(const PlacementGrant &Grant, std::string &KvSource);
  Task<StepEnd> prefill(const ChosenServer &Engine, std::string &KvSource);
  Task<StepEnd> decode(const ChosenServer &Engine, const std::string &KvSource);
  Task<StepEnd> relayEvents(const ChosenServer &Engine, ServerAnswer Answer);
  Task<StepEnd> relayFailure(const ChosenServer &Engine, ServerAnswer Answer);
  Task<bool> writeEvents(EventSplitter &Events);
  ServerTarget targetOf(const ChosenServer &Engine) const;
  bool mayGoOn(StepEnd End) const;
  bool payRepeat();
  bool rejectLeaving(const PlacementGrant &Grant);
  void logBroken(const ChosenServer &Engine, std::string_view Why) const;
  void noteProgress(const ChosenServer &Engine, bool IsLast);
  void report(GenerationStep Step, const ChosenServer &Engine,
              std::uint32_t Tokens = 0, Duration Took = Duration::zero());
  void freeLater(const BackendId &Address, const std::string &Handle);
  Task<void> refuseDenied(const PlacementDenial &Denial);
  std::string sinceArrival(TimePoint At) const;
  Task<void> finish(StepEnd End);

  RelayContext &Context_;
  RelayRequest &Request_;
  const EngineTraits &Engine_;
  std::vector<ServerId> Avoid_;
  std::uint32_t Sent_ = 0;        ///< Decode engines that it was sent to.
  std::uint32_t DecodeCalls_ = 0; ///< Calls to decode engines, also rejected.
  std::uint32_t Prefills_ = 0;    ///< Prefill calls made.
  std::uint32_t Placements_ = 0;
  std::uint32_t Events_ = 0; ///< Passed on to the caller.
  std::optional<std::uint64_t> LastEvent_;
  TimePoint PlacedAt_;    ///< The last grant.
  TimePoint PrefilledAt_; ///< The last prefill.
  TimePoint FirstEventAt_;
  TimePoint LastEventAt_;
  std::uint32_t EngineEvents_ = 0; ///< Of the present engine.
  TimePoint EngineEventAt_;        ///< Its first event.
  bool MayHaveRun_ = false;
  bool IsWhole_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_GENERATIONCALL_H
