/// \file
/// Header fields and message bodies that the relay exchanges with callers and
/// backend servers.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYPROTOCOL_H
#define GOOSEBERRYBEAM_RELAYD_RELAYPROTOCOL_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/http/ClientConnection.h"
#include "gooseberrybeam/http/RequestShape.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Metadata in the head of a caller's request.
struct CallerRequestInfo {
  RequestId RequestId_; ///< Empty if absent.
  std::string ApiKey_;  ///< Empty if absent.
  std::optional<Duration> TimeLeft_;
  bool HasTokenCounts_ = false; ///< The next two are valid.
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t MaxOutputTokens_ = 0;
  std::uint32_t LengthHint_ = 0; ///< Estimated output tokens; 0 if absent.
  /// The segments of the prompt that other prompts may contain too, in order.
  /// The last segment of a prompt is its own and not listed.
  std::vector<PromptSegmentId> SharedSegments_;
  /// The request continues a stream that the caller has in part.
  bool ContinuesStream_ = false;
  /// Of those that continue a stream: the request that brought its first event.
  /// Empty if the caller does not name it.
  RequestId ResumedRequest_;
  /// Another instance has passed the request on.
  bool IsForwarded_ = false;
  bool IsWellFormed_ = true; ///< False if a field is malformed.
};

/// Metadata that the relay adds to a request to a backend server.
struct ServerRequestInfo {
  ServerId Server_;             ///< The only server that may run the request.
  OrganisationId Organisation_; ///< Empty on public routes.
  Duration TimeLeft_{0};
  bool IsPrefill_ = false; ///< Only prefill; keep the KV cache under a handle.
  std::string KvSource_; ///< Location of the prefilled KV cache; may be empty.
  /// Resume the stream after this event.
  std::optional<std::uint64_t> LastEventId_;
  /// For engines; 0 is the most urgent. None if all requests of the service
  /// have the same.
  std::optional<std::uint32_t> Priority_;
};

/// Metadata in the head of a backend server's response.
struct ServerResponseInfo {
  RequestId RequestId_;        ///< Empty if absent.
  bool IsNotExecuted_ = false; ///< The request did not and will not run.
  /// Callers take the status to mean that the request has not run.
  bool MeansNotRun_ = false;
  bool IsWrongServer_ = false; ///< The address now belongs to another server.
  bool IsSigned_ = false;      ///< The signature field is present.
  /// Requests per second that the server accepts from all instances together,
  /// for as long as its responses state it.
  std::optional<double> RequestsPerSecond_;
  /// The server rejected the request and wants none from this instance for so
  /// long.
  std::optional<Duration> PauseTime_;
  bool IsLeaving_ = false; ///< The server leaves; no new work for it.
  /// Has a content encoding: not the server's own body.
  bool IsEncoded_ = false;
};

/// The KV cache of a prompt that an engine keeps.
struct PrefilledPrompt {
  std::string Handle_;
  std::uint32_t Tokens_ = 0;
};

/// Reads and writes the header fields and bodies of one platform. Stateless.
class RelayProtocol {
public:
  virtual ~RelayProtocol() = default;

  /// \param Head the head of a caller's request.
  /// \returns its metadata; `IsWellFormed_` is false if a field is malformed.
  virtual CallerRequestInfo
  parseCallerRequest(const RequestHead &Head) const = 0;
  /// Replaces the fields reserved for the relay and removes the credentials of
  /// the caller.
  /// \param Head the head of the request to the server.
  /// \param Info the metadata to write.
  virtual void writeServerRequest(HttpFields &Head,
                                  const ServerRequestInfo &Info) const = 0;
  /// Marks a request as passed on by an instance to another one.
  /// \param Head the head of the caller's request.
  /// \param TimeLeft the time until the deadline.
  virtual void writeForwarded(HttpFields &Head, Duration TimeLeft) const = 0;
  /// \param Head the head of a server's response.
  /// \returns its metadata.
  virtual ServerResponseInfo
  parseServerResponse(const ResponseHead &Head) const = 0;
  /// \param Body the body of the response to a prefill.
  /// \returns the handle and token count, or none if the body is malformed.
  virtual std::optional<PrefilledPrompt>
  parsePrefillResponse(std::string_view Body) const = 0;
  /// \param Address the server that holds the KV cache.
  /// \param Handle its handle there.
  /// \returns the value of `ServerRequestInfo::KvSource_`.
  virtual std::string formatKvSource(const BackendId &Address,
                                     std::string_view Handle) const = 0;
  /// \param Handle the handle of a KV cache.
  /// \returns a request that makes the server release it.
  virtual HttpRequest makeReleaseRequest(std::string_view Handle) const = 0;
  /// Writes the delay after which a caller may retry.
  /// \param Head the head of a refusal.
  /// \param Delay the delay from now.
  virtual void writeRetryAfter(HttpFields &Head, Duration Delay) const = 0;
  /// Writes the id of the request that a response of the relay belongs to.
  /// \param Head the head of the response.
  /// \param Request the id of the request.
  virtual void writeRequestId(HttpFields &Head,
                              const RequestId &Request) const = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYPROTOCOL_H
