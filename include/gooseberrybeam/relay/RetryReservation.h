/// \file
/// A retry that a budget has allowed and that waits to be sent.
#ifndef GOOSEBERRYBEAM_RELAY_RETRYRESERVATION_H
#define GOOSEBERRYBEAM_RELAY_RETRYRESERVATION_H

#include <cstdint>
#include <memory>
#include <utility>

namespace gooseberry {

/// A retry that a budget has allowed and that waits to be sent. It counts in
/// the budget for as long as it lives, and may outlive the budget.
class RetryReservation {
public:
  /// \param Waiting the number of reservations of the budget.
  explicit RetryReservation(std::shared_ptr<std::uint32_t> Waiting)
      : Waiting_(std::move(Waiting)) {
    ++*Waiting_;
  }
  ~RetryReservation() {
    if (Waiting_)
      --*Waiting_;
  }
  RetryReservation(RetryReservation &&Other) noexcept = default;
  RetryReservation &operator=(RetryReservation &&Other) noexcept {
    std::swap(Waiting_, Other.Waiting_);
    return *this;
  }

private:
  std::shared_ptr<std::uint32_t> Waiting_; ///< Null once moved from.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RETRYRESERVATION_H
