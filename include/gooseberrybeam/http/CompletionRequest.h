/// \file
/// The bodies of `POST /v1/completions` and `POST /v1/chat/completions`.
#ifndef GOOSEBERRYBEAM_HTTP_COMPLETIONREQUEST_H
#define GOOSEBERRYBEAM_HTTP_COMPLETIONREQUEST_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// Which of the two interfaces a caller uses.
enum class CompletionKind : std::uint8_t { Text, Chat };

/// What a caller asks a model for.
struct CompletionRequest {
  CompletionKind Kind_ = CompletionKind::Text;
  ModelId Model_;
  std::string Prompt_;
  std::optional<std::uint32_t> MaxTokens_;
  bool IsStream_ = false;
  bool IncludesUsage_ = false; ///< The stream ends with the token counts.
};

/// The first fault of a body.
struct BodyFault {
  std::string Param_; ///< The member at fault, empty for the whole body.
  std::string Message_;
};

/// \param Kind the interface.
/// \param Body JSON text.
/// \returns the request, or what is wrong with it.
Result<CompletionRequest, BodyFault> parseCompletion(CompletionKind Kind,
                                                     std::string_view Body);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_COMPLETIONREQUEST_H
