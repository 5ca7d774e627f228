/// \file
/// The table row of a non-idempotent request that carries an idempotency key.
#ifndef GOOSEBERRYBEAM_IDEMPOTENCY_IDEMPOTENCYRECORD_H
#define GOOSEBERRYBEAM_IDEMPOTENCY_IDEMPOTENCYRECORD_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberry {

/// Progress of a request with an idempotency key.
enum class IdempotencyState : std::uint8_t {
  Started, ///< May be running; only the call with this nonce may send it.
  Done,    ///< Has run; the record holds its answer.
  Unknown, ///< Was sent, but its outcome was lost.
};

/// The answer of a backend server, stored to answer repeated requests.
struct StoredAnswer {
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;

  friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

/// The record that ensures at-most-once execution of one request.
struct IdempotencyRecord {
  IdempotencyState State_ = IdempotencyState::Started;
  std::string Fingerprint_; ///< Hash of method, path and body.
  std::string Holder_;      ///< `<instance>#<incarnation>` of that call.
  std::string Nonce_;       ///< Identifies the only call that may send it.
  std::int64_t ExpiresAtUnixSeconds_ = 0;
  StoredAnswer Answer_; ///< Set if `Done`.

  friend bool operator==(const IdempotencyRecord &,
                         const IdempotencyRecord &) = default;
};

/// Why a row value could not be parsed.
enum class IdempotencyRecordError : std::uint8_t { Malformed };

/// \param Record the record to encode.
/// \returns the row's value, as JSON.
std::string encodeIdempotencyRecord(const IdempotencyRecord &Record);

/// \param Value a row's value.
/// \returns the parsed record, or `Malformed`.
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
/// \returns a hash that distinguishes a repeat from another request with the
/// same key.
std::string requestFingerprint(std::string_view Method, std::string_view Target,
                               std::string_view Body);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_IDEMPOTENCY_IDEMPOTENCYRECORD_H
