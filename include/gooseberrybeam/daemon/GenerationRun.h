/// \file
/// One generation, from its place in the queue to its last token.
#ifndef GOOSEBERRYBEAM_DAEMON_GENERATIONRUN_H
#define GOOSEBERRYBEAM_DAEMON_GENERATIONRUN_H

#include "gooseberrybeam/daemon/ActiveMark.h"
#include "gooseberrybeam/daemon/CallerIdentity.h"
#include "gooseberrybeam/daemon/CompletionAnswer.h"
#include "gooseberrybeam/daemon/WorkerContext.h"
#include "gooseberrybeam/transfer/TokenAssembler.h"

#include <memory>
#include <optional>
#include <set>

namespace gooseberry {

/// What is to be generated, and for whom.
struct GenerationJob {
  CompletionRequest Request_;
  CallerIdentity Identity_;
  WorkClass Class_;
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t MaxTokens_ = 0;
};

/// How a generation ended.
struct GenerationEnd {
  std::optional<CallerError> Error_; ///< None if the answer is whole.
  std::uint32_t PromptTokens_ = 0;   ///< Prefilled at least once.
  std::uint32_t OutputTokens_ = 0;   ///< Relayed.
};

/// Carries out the dispatcher's actions for one request. Whatever way it ends,
/// the request is cancelled on every engine that may hold memory for it, and
/// counts as active until these calls have ended.
class GenerationRun {
public:
  /// \param Worker the worker's context; outlives the run.
  /// \param Exchange the request; outlives the run.
  /// \param Job what to generate.
  GenerationRun(WorkerContext &Worker, CallerExchange &Exchange,
                GenerationJob Job);

  /// Runs the generation and answers the caller.
  /// \returns how it ended.
  Task<GenerationEnd> run();

private:
  /// Whether the run goes on with the dispatcher's next action.
  enum class Step : std::uint8_t { NextAction, Finished };

  GenerationSpec makeWork() const;
  void report(ProgressKind Kind, std::uint32_t Tokens, Duration Took);
  Step refuse(RefusalReason Reason, std::optional<Duration> RetryAfter = {});
  Step refuseCancelled();

  Task<Step> perform(const DispatchAction &Action);
  Task<Step> start(StartGeneration Action);
  Task<Step> decode(BackendId Engine);
  Task<Step> relay(DecodeStream &Stream, BackendId Engine, CancelScope &Scope,
                   PlacementMailbox::Interruptible &Interrupt);
  Task<Step> finish(const DecodeDone &Done, const BackendId &Engine);
  Task<Step> complete(std::string_view FinishReason);
  void onImported();
  bool onToken(const DecodeToken &Token);
  Step onPrefillError(const BackendId &Engine, const EngineError &Error);
  Step onDecodeError(const BackendId &Engine, const EngineError &Error);
  std::optional<RefusalReason> findRetryBar(const BackendId &Engine,
                                            const EngineError &Error);
  void dropKv();
  void cancelOn(const BackendId &Engine);
  void cleanUp();

  WorkerContext &Worker_;
  CallerExchange &Exchange_;
  GenerationJob Job_;
  CompletionAnswer Answer_;
  std::shared_ptr<PlacementMailbox> Mailbox_;
  TokenAssembler Assembler_;
  AttemptStart Attempt_;
  std::optional<PrefillDone> Kv_;
  BackendId PrefillEngine_;
  std::set<BackendId> Touched_; ///< May hold memory for the request.
  std::shared_ptr<ActiveMark> Active_;
  GenerationEnd End_;
  std::uint32_t ReportedTokens_ = 0;
  TimePoint DecodeSince_;
  TimePoint LastToken_;
  std::uint32_t Attempts_ = 0;
  bool IsImported_ = false;
  bool MayHaveStarted_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_GENERATIONRUN_H
