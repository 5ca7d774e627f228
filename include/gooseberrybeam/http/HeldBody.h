/// \file
/// A body in memory that counts against a budget.
#ifndef GOOSEBERRYBEAM_HTTP_HELDBODY_H
#define GOOSEBERRYBEAM_HTTP_HELDBODY_H

#include "gooseberrybeam/http/ByteBudget.h"

#include <string>
#include <string_view>

namespace gooseberry {

/// A body that is received part by part.
struct HeldBody {
  std::string Text_;
  HeldBytes Held_;

  /// \param Part the next bytes of the body.
  /// \returns false, without a change, if the budget does not allow them.
  bool tryAppend(std::string_view Part) {
    if (!Held_.tryResize(Text_.size() + Part.size()))
      return false;
    Text_ += Part;
    return true;
  }
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_HELDBODY_H
