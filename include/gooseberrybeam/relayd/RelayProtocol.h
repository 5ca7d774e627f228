/// \file
/// How callers and backend servers spell what the relay needs to know.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYPROTOCOL_H
#define GOOSEBERRYBEAM_RELAYD_RELAYPROTOCOL_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/http/ClientConnection.h"
#include "gooseberrybeam/http/RequestShape.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// What a caller's request says in its head.
struct CallerRequestInfo {
  RequestId RequestId_; ///< Empty: the caller named none.
  std::string ApiKey_;  ///< Empty: none.
  std::optional<Duration> TimeLeft_;
  bool HasTokenCounts_ = false; ///< The next two were declared.
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t MaxOutputTokens_ = 0;
  std::uint32_t LengthHint_ = 0; ///< 0 for none.
  bool IsWellFormed_ = true;     ///< False: a field could not be read.
};

/// What the relay tells a backend server with a request.
struct ServerRequestInfo {
  ServerId Server_;             ///< Any other server must not run the request.
  OrganisationId Organisation_; ///< Empty on public routes.
  Duration TimeLeft_{0};
  bool IsPrefill_ = false; ///< Read the prompt and keep it under a handle.
  std::string KvSource_;   ///< Where the read prompt is; empty for none.
  std::optional<std::uint64_t> LastEventId_; ///< Go on after this event.
};

/// What a backend server's answer says in its head.
struct ServerResponseInfo {
  RequestId RequestId_;        ///< Empty: it named none.
  bool IsNotExecuted_ = false; ///< The server did not and will not run it.
  bool IsWrongServer_ = false; ///< Another server has the address.
  bool IsSigned_ = false;      ///< It bears the server's signature.
  bool IsEncoded_ = false;     ///< The body is not the server's own.
};

/// A prompt that was read and is kept.
struct PrefilledPrompt {
  std::string Handle_;
  std::uint32_t Tokens_ = 0;
};

/// Translates heads and small bodies; decides nothing.
class RelayProtocol {
public:
  virtual ~RelayProtocol() = default;

  /// \param Head a caller's head.
  /// \returns what it says.
  virtual CallerRequestInfo
  parseCallerRequest(const RequestHead &Head) const = 0;
  /// Replaces the fields that belong to the relay, and removes the key.
  /// \param Head the head that goes to the server.
  /// \param Info what the server is told.
  virtual void writeServerRequest(HttpFields &Head,
                                  const ServerRequestInfo &Info) const = 0;
  /// \param Head a server's head.
  /// \returns what it says.
  virtual ServerResponseInfo
  parseServerResponse(const ResponseHead &Head) const = 0;
  /// \param Body a server's answer to a prefill.
  /// \returns the prompt, or none if the body is malformed.
  virtual std::optional<PrefilledPrompt>
  parsePrefillResponse(std::string_view Body) const = 0;
  /// \param Address the server that keeps a prompt.
  /// \param Handle its handle.
  /// \returns the text of `ServerRequestInfo::KvSource_`.
  virtual std::string formatKvSource(const BackendId &Address,
                                     std::string_view Handle) const = 0;
  /// \param Handle a handle.
  /// \returns a request that frees it.
  virtual HttpRequest makeReleaseRequest(std::string_view Handle) const = 0;
  /// Tells a caller when to come back.
  /// \param Head the head of a refusal.
  /// \param Delay from now.
  virtual void writeRetryAfter(HttpFields &Head, Duration Delay) const = 0;
  /// Names the request that an answer of the relay belongs to.
  /// \param Head the head of an answer.
  /// \param Request the caller's request.
  virtual void writeRequestId(HttpFields &Head,
                              const RequestId &Request) const = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYPROTOCOL_H
