/// \file
/// JSON of the engines' protocol.
#ifndef GOOSEBERRYBEAM_SRC_ENGINE_ENGINEJSON_H
#define GOOSEBERRYBEAM_SRC_ENGINE_ENGINEJSON_H

#include "gooseberrybeam/engine/EngineTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// \param Call a call.
/// \param Holder `<instance>#<incarnation>`.
/// \returns the body of `POST /v1/prefill`.
std::string writePrefill(const PrefillCall &Call, std::string_view Holder);

/// \param Call a call.
/// \param Holder `<instance>#<incarnation>`.
/// \returns the body of `POST /v1/decode`.
std::string writeDecode(const DecodeCall &Call, std::string_view Holder);

/// \param Request a request.
/// \param Holder `<instance>#<incarnation>`.
/// \returns the body of `POST /v1/cancel`.
std::string writeCancel(const RequestId &Request, std::string_view Holder);

/// \param Kv a KV cache.
/// \param Holder `<instance>#<incarnation>`.
/// \returns the body of `POST /v1/kv/release`.
std::string writeRelease(std::string_view Kv, std::string_view Holder);

/// \param Order an order.
/// \param Holder `<instance>#<incarnation>`.
/// \returns the body of `POST /v1/orders`.
std::string writeOrder(const EngineOrderCall &Order, std::string_view Holder);

/// Each parse function returns none if the text does not follow the protocol.
/// @{
std::optional<PrefillDone> parsePrefill(std::string_view Text);
std::optional<EngineFreed> parseFreed(std::string_view Text);
std::optional<EngineAccepted> parseAccepted(std::string_view Text);
std::optional<std::vector<EngineHolding>> parseHoldings(std::string_view Text);
std::optional<EngineLoad> parseLoad(std::string_view Text);
std::optional<EngineCacheEvents> parseCacheEvents(std::string_view Text);
std::optional<DecodeEvent> parseDecodeEvent(std::string_view Line);
std::optional<EngineFailure> parseEngineError(std::string_view Text);
/// @}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_ENGINE_ENGINEJSON_H
