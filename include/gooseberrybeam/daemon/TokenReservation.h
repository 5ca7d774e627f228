/// \file
/// Tokens of an organisation's limit that one request holds.
#ifndef GOOSEBERRYBEAM_DAEMON_TOKENRESERVATION_H
#define GOOSEBERRYBEAM_DAEMON_TOKENRESERVATION_H

#include "gooseberrybeam/daemon/ClusterDesk.h"
#include "gooseberrybeam/daemon/WorkerContext.h"
#include "gooseberrybeam/http/CancelScope.h"

#include <optional>

namespace gooseberry {

/// Settles with the ledger when it is destroyed; what was not used is
/// returned. Retries of a request share one reservation.
class TokenReservation {
public:
  using Made = Result<TokenReservation, Refusal>;

  /// Reserves tokens; waits while parts of the limit are borrowed.
  /// \param Worker the worker's context; outlives the reservation.
  /// \param Organisation the organisation; nothing is reserved if it is empty.
  /// \param Tokens prompt and output together.
  /// \param HoldUntil until when the answer may be held back.
  /// \param Scope ends the wait when cancelled.
  /// \returns the reservation, or the refusal, which was not run.
  static Task<Made> make(WorkerContext &Worker, OrganisationId Organisation,
                         std::int64_t Tokens, TimePoint HoldUntil,
                         CancelScope &Scope);

  TokenReservation(TokenReservation &&Other) noexcept;
  TokenReservation(const TokenReservation &) = delete;
  TokenReservation &operator=(const TokenReservation &) = delete;
  TokenReservation &operator=(TokenReservation &&) = delete;
  ~TokenReservation();

  /// \param Tokens the tokens used so far.
  void setUsed(std::int64_t Tokens) { Used_ = Tokens; }

private:
  TokenReservation(WorkerContext &Worker, std::optional<ReservationRef> Ref)
      : Worker_(Worker), Ref_(Ref) {}

  WorkerContext &Worker_;
  std::optional<ReservationRef> Ref_;
  std::int64_t Used_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_TOKENRESERVATION_H
