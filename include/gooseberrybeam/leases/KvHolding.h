/// \file
/// Engine memory held for one request.
#ifndef GOOSEBERRYBEAM_LEASES_KVHOLDING_H
#define GOOSEBERRYBEAM_LEASES_KVHOLDING_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/membership/Member.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberry {

/// Who answers for a holding: the member whose request it serves.
using Holder = MemberId;

/// \param Value a holder.
/// \returns it as engines see it, `<instance>#<incarnation>`.
std::string asText(const Holder &Value);

/// \param Text a holder as engines see it.
/// \param Output takes the holder.
/// \returns false, and leaves \p Output alone, if \p Text is not a holder.
bool parseHolder(std::string_view Text, Holder &Output);

/// One holding as an engine lists it.
struct KvHolding {
  std::string Kv_; ///< The engine's name for it.
  RequestId Request_;
  Holder Holder_;
  std::uint32_t Pieces_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LEASES_KVHOLDING_H
