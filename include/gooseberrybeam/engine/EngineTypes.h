/// \file
/// Calls to model engines and their outcomes.
#ifndef GOOSEBERRYBEAM_ENGINE_ENGINETYPES_H
#define GOOSEBERRYBEAM_ENGINE_ENGINETYPES_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberry {

/// What an engine does at present.
enum class ReportedRole : std::uint8_t { Prefill, Decode };

/// Why a call to an engine failed.
enum class EngineFailure : std::uint8_t {
  NoSlot,
  NoMemory,
  WrongRole,
  WrongModel,
  KvGone,
  TransferStalled,
  DuplicateRequest,
  Cancelled,
  StaleFence,
  Refused,      ///< The engine takes no calls at present.
  Unreachable,  ///< No connection could be made.
  Broken,       ///< The connection broke.
  Silent,       ///< No byte came within the idle timeout.
  Malformed,    ///< The answer was not understood.
  CallerGaveUp, ///< The request was cancelled on this side.
};

/// Number of engine failures.
inline constexpr int EngineFailureCount =
    static_cast<int>(EngineFailure::CallerGaveUp) + 1;

/// \param Failure a failure.
/// \returns its `snake_case` code, used on the wire, in logs and in metrics.
std::string_view asCode(EngineFailure Failure);

/// \param Code a code on the wire.
/// \returns the failure; `Malformed` if the code is not known.
EngineFailure parseEngineFailure(std::string_view Code);

/// A failed call to an engine.
struct EngineError {
  EngineFailure Failure_ = EngineFailure::Unreachable;
  /// Whether the engine may have started the work, or may hold memory for it.
  bool MayHaveStarted_ = false;
};

/// Computes the KV cache of a prompt.
struct PrefillCall {
  RequestId Request_;
  ModelId Model_;
  std::string_view Prompt_;
  std::uint32_t GeneratedTokens_ = 0;
  int Priority_ = 0;                 ///< Smaller ones run sooner.
  std::optional<Duration> Deadline_; ///< Time left.
  /// Longest wait for a byte, if shorter than the client's own bound.
  std::optional<Duration> IdleTimeout_;
};

/// A KV cache on a prefill engine.
struct PrefillDone {
  std::string Kv_;
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t CachedTokens_ = 0;
  std::uint32_t Pieces_ = 0;
  Duration Took_{};
};

/// Imports a KV cache and generates tokens.
struct DecodeCall {
  RequestId Request_;
  ModelId Model_;
  BackendId Source_; ///< The prefill engine.
  std::string Kv_;
  std::uint32_t MaxTokens_ = 0;  ///< From the first index on.
  std::uint32_t FirstIndex_ = 0; ///< Index of the first token to generate.
  int Priority_ = 0;             ///< Smaller ones run sooner.
};

/// The KV cache has been imported.
struct DecodeImported {};

/// One token.
struct DecodeToken {
  std::uint32_t Index_ = 0;
  std::string Text_;
};

/// The decode has ended regularly.
struct DecodeDone {
  std::string FinishReason_;
  std::uint32_t CompletionTokens_ = 0; ///< Sent by this decode.
};

/// The engine gave up.
struct DecodeFailed {
  EngineFailure Failure_ = EngineFailure::Malformed;
};

/// An event of a decode stream.
using DecodeEvent =
    std::variant<DecodeImported, DecodeToken, DecodeDone, DecodeFailed>;

/// Load of an engine, as it reports it; the report lags.
struct EngineLoad {
  ReportedRole Role_ = ReportedRole::Prefill;
  std::vector<ModelId> Models_;
  std::string Version_;
  std::uint32_t PrefillQueueTokens_ = 0;
  std::uint32_t DecodeActive_ = 0;
  std::uint32_t DecodeSlots_ = 0;
  std::uint32_t PiecesTotal_ = 0;
  std::uint32_t PiecesUsed_ = 0;
  std::uint32_t LinkQueuePieces_ = 0;
  Duration Step_{};
  Duration Lag_{};
};

/// How far a KV holding has come.
enum class HoldingState : std::uint8_t { Prefilled, Importing, Decoding };

/// Memory that an engine holds for a request.
struct EngineHolding {
  std::string Kv_;
  RequestId Request_;
  std::string Holder_; ///< `<instance>#<incarnation>`.
  std::uint32_t Pieces_ = 0;
  Duration Age_{};
  HoldingState State_ = HoldingState::Prefilled;
};

/// A change of an engine's prefix cache.
struct EngineCacheEvent {
  std::uint64_t Sequence_ = 0;
  bool IsStored_ = false; ///< Else evicted.
  std::uint64_t Prefix_ = 0;
  std::uint32_t Tokens_ = 0;
};

/// Cache events after a sequence number; late, and with gaps.
struct EngineCacheEvents {
  std::vector<EngineCacheEvent> Events_;
  std::uint64_t First_ = 0; ///< Oldest event that the engine still has.
  std::uint64_t Last_ = 0;
};

/// An order under a fencing number.
struct EngineOrderCall {
  std::uint64_t Fence_ = 0;
  std::string Kind_; ///< `load_model`, `set_role`, ...
  std::string ArgumentName_;
  std::string Argument_;
};

/// The engine accepted; nothing more is known.
struct EngineAccepted {};

/// Memory that was freed.
struct EngineFreed {
  std::uint32_t Pieces_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ENGINE_ENGINETYPES_H
