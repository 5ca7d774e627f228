/// \file
/// What the table remembers of a non-idempotent request.
#ifndef GOOSEBERRYBEAM_IDEMPOTENCY_IDEMPOTENCYRECORD_H
#define GOOSEBERRYBEAM_IDEMPOTENCY_IDEMPOTENCYRECORD_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberry {

/// How far a request with an idempotency key has come.
enum class IdempotencyState : std::uint8_t {
  Started, ///< It may be running; only the owner of the nonce may send it.
  Done,    ///< It ran; the record holds its answer.
  Unknown, ///< It was sent and its outcome was lost.
};

/// The answer of a backend server, kept for repeats.
struct StoredAnswer {
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;

  friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

/// One row of the at-most-once ledger.
struct IdempotencyRecord {
  IdempotencyState State_ = IdempotencyState::Started;
  std::string Fingerprint_; ///< Hash of method, path and body.
  std::string Holder_;      ///< `<instance>#<incarnation>` that may send it.
  std::string Nonce_;       ///< Names the one call that may send it.
  std::int64_t ExpiresAtUnixSeconds_ = 0;
  StoredAnswer Answer_; ///< Set if `Done`.

  friend bool operator==(const IdempotencyRecord &,
                         const IdempotencyRecord &) = default;
};

/// Why a row is not a record.
enum class IdempotencyRecordError : std::uint8_t { Malformed };

/// \param Record a record.
/// \returns the row's value, as JSON.
std::string encodeIdempotencyRecord(const IdempotencyRecord &Record);

/// \param Value a row's value.
/// \returns the record that it holds.
Result<IdempotencyRecord, IdempotencyRecordError>
parseIdempotencyRecord(std::string_view Value);

/// \param Organisation the caller's organisation.
/// \param Key the caller's `Idempotency-Key`.
/// \returns the key of the record's row.
std::string idempotencyRowKey(const OrganisationId &Organisation,
                              std::string_view Key);

/// \param Method the request's method.
/// \param Target the request's path and query.
/// \param Body the request's body.
/// \returns a hash by which a repeat is recognised.
std::string requestFingerprint(std::string_view Method, std::string_view Target,
                               std::string_view Body);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_IDEMPOTENCY_IDEMPOTENCYRECORD_H
