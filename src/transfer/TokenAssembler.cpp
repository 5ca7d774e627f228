#include "gooseberrybeam/transfer/TokenAssembler.h"

#include <cassert>

namespace gooseberry {

AttemptStart TokenAssembler::beginAttempt() {
  assert(!IsComplete_);
  ++Attempt_;
  return AttemptStart{Attempt_, NextIndex_};
}

AssemblyOutcome TokenAssembler::onToken(AttemptNumber Attempt,
                                        std::uint32_t Index,
                                        std::string_view Text) {
  if (Attempt != Attempt_ || IsComplete_)
    return AssemblyOutcome::StaleAttempt;
  if (Index < NextIndex_)
    return AssemblyOutcome::Duplicate;
  if (Index > NextIndex_)
    return AssemblyOutcome::Gap;
  ++NextIndex_;
  Text_.append(Text);
  return AssemblyOutcome::Accepted;
}

AssemblyOutcome TokenAssembler::onEnd(AttemptNumber Attempt,
                                      std::uint32_t CompletionTokens) {
  if (Attempt != Attempt_ || IsComplete_)
    return AssemblyOutcome::StaleAttempt;
  if (CompletionTokens != NextIndex_)
    return AssemblyOutcome::Gap;
  IsComplete_ = true;
  return AssemblyOutcome::Accepted;
}

} // namespace gooseberry
