/// \file
/// The platform's protocol with a fault of our own in it.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_THROWINGPROTOCOL_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_THROWINGPROTOCOL_H

#include "PlatformProtocol.h"

#include <stdexcept>

namespace gooseberry {

/// Where a `ThrowingProtocol` throws.
enum class ThrowingStep {
  None,
  ReadRequest,
  WriteServerRequest,
  ReadServerResponse,
  ReadPrefill,
  WriteKvSource,
};

/// Throws at one step, as an unexpected error would, and else does what the
/// platform's protocol does.
class ThrowingProtocol final : public RelayProtocol {
public:
  /// \param Step where to throw from now on.
  void throwAt(ThrowingStep Step) { Step_ = Step; }

  CallerRequestInfo parseCallerRequest(const RequestHead &Head) const override {
    throwIf(ThrowingStep::ReadRequest);
    return Platform_.parseCallerRequest(Head);
  }
  void writeServerRequest(HttpFields &Head,
                          const ServerRequestInfo &Info) const override {
    throwIf(ThrowingStep::WriteServerRequest);
    Platform_.writeServerRequest(Head, Info);
  }
  void writeForwarded(HttpFields &Head, Duration TimeLeft) const override {
    Platform_.writeForwarded(Head, TimeLeft);
  }
  ServerResponseInfo
  parseServerResponse(const ResponseHead &Head) const override {
    throwIf(ThrowingStep::ReadServerResponse);
    return Platform_.parseServerResponse(Head);
  }
  std::optional<PrefilledPrompt>
  parsePrefillResponse(std::string_view Body) const override {
    throwIf(ThrowingStep::ReadPrefill);
    return Platform_.parsePrefillResponse(Body);
  }
  std::string formatKvSource(const BackendId &Address,
                             std::string_view Handle) const override {
    throwIf(ThrowingStep::WriteKvSource);
    return Platform_.formatKvSource(Address, Handle);
  }
  HttpRequest makeReleaseRequest(std::string_view Handle) const override {
    return Platform_.makeReleaseRequest(Handle);
  }
  void writeRetryAfter(HttpFields &Head, Duration Delay) const override {
    Platform_.writeRetryAfter(Head, Delay);
  }
  void writeRequestId(HttpFields &Head,
                      const RequestId &Request) const override {
    Platform_.writeRequestId(Head, Request);
  }

private:
  void throwIf(ThrowingStep Step) const {
    if (Step_ == Step)
      throw std::runtime_error("thrown by a test");
  }

  platform::PlatformProtocol Platform_;
  ThrowingStep Step_ = ThrowingStep::None;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_THROWINGPROTOCOL_H
