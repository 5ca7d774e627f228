/// \file
/// Reads and checks bodies of answers.
#ifndef TOOLS_GBLOAD_ANSWERCHECK_H
#define TOOLS_GBLOAD_ANSWERCHECK_H

#include "gbload/Answer.h"
#include "gbload/Work.h"

#include <string_view>

namespace gooseberry {

/// One event of a streamed completion.
struct StreamEvent {
  std::string Text_;
  std::string FinishReason_;
  std::string ErrorCode_; ///< Set if the event is an error object.
};

/// \param Data what follows `data: `, a JSON object.
/// \returns the event.
StreamEvent parseStreamEvent(std::string_view Data);

/// Reads a typed error.
/// \param Body body of the answer, or of an error event.
/// \param Status HTTP status.
/// \param Result takes the end, the code and whether it was run.
void readRefusal(std::string_view Body, unsigned Status, Answer &Result);

/// Checks a generated text against what the engine must have generated.
/// \param Sent the request.
/// \param Text the whole text.
/// \param FinishReason reason given.
/// \param Result takes the end and what is wrong.
void checkText(const Work &Sent, std::string_view Text,
               std::string_view FinishReason, Answer &Result);

/// Checks the body of a completion that was not streamed.
/// \param Sent the request.
/// \param Body the body.
/// \param Result takes the end and what is wrong.
void checkCompletion(const Work &Sent, std::string_view Body, Answer &Result);

} // namespace gooseberry

#endif // TOOLS_GBLOAD_ANSWERCHECK_H
