/// \file
/// Turns failures of HTTP calls into failures of engines.
#ifndef GOOSEBERRYBEAM_SRC_ENGINE_ENGINEERRORS_H
#define GOOSEBERRYBEAM_SRC_ENGINE_ENGINEERRORS_H

#include "gooseberrybeam/engine/EngineTypes.h"
#include "gooseberrybeam/http/CallError.h"

#include <string_view>

namespace gooseberry {

/// \param Error a failed call.
/// \returns the same failure as seen by users of engines.
EngineError asEngineError(const CallError &Error);

/// \param Status the status of an answer other than 200.
/// \param Body its body.
/// \returns the failure that it reports.
EngineError parseEngineRefusal(int Status, std::string_view Body);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_ENGINE_ENGINEERRORS_H
