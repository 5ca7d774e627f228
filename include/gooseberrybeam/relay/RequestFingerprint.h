/// \file
/// Identifies requests with the same content.
#ifndef GOOSEBERRYBEAM_RELAY_REQUESTFINGERPRINT_H
#define GOOSEBERRYBEAM_RELAY_REQUESTFINGERPRINT_H

#include "gooseberrybeam/base/Ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// A hash of what a server runs. Further attempts at a request have another id
/// and the same fingerprint, whichever route or service they are for.
struct RequestFingerprint {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;

  /// \returns whether no request is meant.
  bool isEmpty() const { return High_ == 0 && Low_ == 0; }

  friend auto operator<=>(const RequestFingerprint &,
                          const RequestFingerprint &) = default;
};

/// \param Organisation the organisation; empty on public routes.
/// \param Method the method.
/// \param Target the path, with or without a query, which is left out.
/// \param Body the body.
/// \returns the fingerprint of the request.
RequestFingerprint makeRequestFingerprint(const OrganisationId &Organisation,
                                          std::string_view Method,
                                          std::string_view Target,
                                          std::string_view Body);

/// \param Fingerprint a fingerprint.
/// \returns it as hexadecimal digits.
std::string formatFingerprint(const RequestFingerprint &Fingerprint);

/// \param Text hexadecimal digits.
/// \returns the fingerprint, or none if \p Text is malformed.
std::optional<RequestFingerprint> parseFingerprint(std::string_view Text);

} // namespace gooseberry

template <> struct std::hash<gooseberry::RequestFingerprint> {
  std::size_t
  operator()(const gooseberry::RequestFingerprint &Each) const noexcept {
    return static_cast<std::size_t>(Each.Low_);
  }
};

#endif // GOOSEBERRYBEAM_RELAY_REQUESTFINGERPRINT_H
