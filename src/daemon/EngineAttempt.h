/// \file
/// Meaning of engine failures for retries.
#ifndef GOOSEBERRYBEAM_SRC_DAEMON_ENGINEATTEMPT_H
#define GOOSEBERRYBEAM_SRC_DAEMON_ENGINEATTEMPT_H

#include "gooseberrybeam/engine/EngineTypes.h"
#include "gooseberrybeam/retry/AttemptFailure.h"
#include "gooseberrybeam/routing/GenerationProgress.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace gooseberry {

/// \param Failure a failure of an engine.
/// \returns the same failure as the retry policy knows it.
AttemptFailure asAttemptFailure(EngineFailure Failure);

/// \param Error a failure of an engine.
/// \returns whether the engine declined: nothing was started, and the request
/// waits for other engines without a charge to the retry budget.
bool isDeclined(const EngineError &Error);

/// \param Error a failure of a decode.
/// \param IsImported whether the KV cache had been imported.
/// \returns the step that the dispatcher is told.
ProgressKind asDecodeProgress(const EngineError &Error, bool IsImported);

/// \param Prompt a prompt.
/// \returns the hashes of its prefixes, shortest first.
std::vector<std::uint64_t> hashPromptPrefixes(std::string_view Prompt);

/// \param Text UTF-8 text.
/// \returns the tokens that it is charged as.
std::uint32_t estimateTokens(std::string_view Text);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_DAEMON_ENGINEATTEMPT_H
