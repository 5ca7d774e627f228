/// \file
/// Mutual authentication of daemons by a shared key.
#ifndef GOOSEBERRYBEAM_PEERS_PEERAUTH_H
#define GOOSEBERRYBEAM_PEERS_PEERAUTH_H

#include "gooseberrybeam/membership/Member.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// Which end of a connection proves itself.
enum class PeerRole : std::uint8_t { Client, Server };

/// What both ends know of a connection's start.
struct PeerHandshake {
  MemberId Client_;
  MemberId Server_;
  std::string ClientNonce_;
  std::string ServerNonce_;
};

/// \returns 32 random hexadecimal digits, or nothing if the random source of
/// the library fails.
std::optional<std::string> makePeerNonce();

/// \param Key the key that all daemons share.
/// \param Role the end that proves itself.
/// \param Handshake both identities and nonces.
/// \returns HMAC-SHA256 over all of these, in hexadecimal.
std::string makePeerProof(std::string_view Key, PeerRole Role,
                          const PeerHandshake &Handshake);

/// \returns whether two proofs are equal, in constant time.
bool isSameProof(std::string_view Left, std::string_view Right);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_PEERS_PEERAUTH_H
