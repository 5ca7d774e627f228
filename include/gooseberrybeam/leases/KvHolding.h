/// \file
/// KV cache memory that an engine holds for one request.
#ifndef GOOSEBERRYBEAM_LEASES_KVHOLDING_H
#define GOOSEBERRYBEAM_LEASES_KVHOLDING_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/membership/Member.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberry {

/// The member that is responsible for a holding: the one whose request it
/// serves.
using Holder = MemberId;

/// \param Value a holder.
/// \returns its text form, `<instance>#<incarnation>`, as engines report it.
std::string asText(const Holder &Value);

/// \param Text the text form of a holder.
/// \param Output receives the holder.
/// \returns false, and leaves \p Output unchanged, if \p Text is malformed.
bool parseHolder(std::string_view Text, Holder &Output);

/// One entry of an engine's list of holdings.
struct KvHolding {
  std::string Kv_; ///< The engine's handle.
  RequestId Request_;
  Holder Holder_;
  std::uint32_t Pieces_ = 0; ///< Size in cache pieces.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LEASES_KVHOLDING_H
