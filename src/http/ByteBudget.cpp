#include "gooseberrybeam/http/ByteBudget.h"

#include <cassert>
#include <utility>

namespace gooseberry {

bool ByteBudget::tryResize(std::size_t Present, std::size_t Next) {
  assert(Present <= Held_);
  const std::size_t Held = Held_ - Present + Next;
  const std::size_t Free = Total_ > Held ? Total_ - Held : 0;
  if (Next > Present && Next > SmallBytes && Next > Free)
    return false;
  Held_ = Held;
  return true;
}

HeldBytes::~HeldBytes() { tryResize(0); }

HeldBytes::HeldBytes(HeldBytes &&Other) noexcept
    : Budget_(std::move(Other.Budget_)),
      Bytes_(std::exchange(Other.Bytes_, 0)) {}

HeldBytes &HeldBytes::operator=(HeldBytes &&Other) noexcept {
  std::swap(Budget_, Other.Budget_);
  std::swap(Bytes_, Other.Bytes_);
  return *this;
}

bool HeldBytes::tryResize(std::size_t Bytes) {
  if (Budget_ && !Budget_->tryResize(Bytes_, Bytes))
    return false;
  Bytes_ = Bytes;
  return true;
}

} // namespace gooseberry
