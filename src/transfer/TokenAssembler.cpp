#include "gooseberrybeam/transfer/TokenAssembler.h"

#include <cassert>

namespace gooseberry {

AttemptStart TokenAssembler::beginAttempt() {
  assert(!Complete_);
  ++Attempt_;
  return AttemptStart{Attempt_, NextIndex_};
}

AssemblyVerdict TokenAssembler::onToken(AttemptNumber Attempt,
                                        std::uint32_t Index,
                                        std::string_view Text) {
  if (Attempt != Attempt_ || Complete_)
    return AssemblyVerdict::StaleAttempt;
  if (Index < NextIndex_)
    return AssemblyVerdict::Duplicate;
  if (Index > NextIndex_)
    return AssemblyVerdict::Gap;
  ++NextIndex_;
  Text_.append(Text);
  return AssemblyVerdict::Accepted;
}

AssemblyVerdict TokenAssembler::onEnd(AttemptNumber Attempt,
                                      std::uint32_t CompletionTokens) {
  if (Attempt != Attempt_ || Complete_)
    return AssemblyVerdict::StaleAttempt;
  if (CompletionTokens != NextIndex_)
    return AssemblyVerdict::Gap;
  Complete_ = true;
  return AssemblyVerdict::Accepted;
}

} // namespace gooseberry
