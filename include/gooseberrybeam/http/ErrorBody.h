/// \file
/// Refusals and errors as callers see them.
#ifndef GOOSEBERRYBEAM_HTTP_ERRORBODY_H
#define GOOSEBERRYBEAM_HTTP_ERRORBODY_H

#include "gooseberrybeam/base/Refusal.h"

#include <string>
#include <string_view>

namespace gooseberry {

/// A refusal with what helps the caller to mend the request.
struct CallerError {
  Refusal Refusal_;
  std::string Message_; ///< Empty: the reason's own sentence.
  std::string Param_;   ///< The member of the body at fault; may be empty.
};

/// \param Reason a reason.
/// \returns a sentence that names nothing of other callers.
std::string_view asMessage(RefusalReason Reason);

/// \param Error an error.
/// \returns an OpenAI error object with the field `execution`.
std::string writeErrorBody(const CallerError &Error);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_ERRORBODY_H
