/// \file
/// Writes log lines to standard output without ever waiting for its reader.
#ifndef GOOSEBERRYBEAM_SRC_LOG_LINEAPPENDER_H
#define GOOSEBERRYBEAM_SRC_LOG_LINEAPPENDER_H

#include "gooseberrybeam/log/LineBudget.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/object.h>

#include <string>
#include <string_view>

// The library's macros work only in its own namespace.
namespace log4cxx {

/// Drops lines beyond a rate, and lines that the reader has no room for. The
/// number of dropped lines is written when there is room again.
class LineAppender final : public AppenderSkeleton {
public:
  DECLARE_LOG4CXX_OBJECT(LineAppender)
  BEGIN_LOG4CXX_CAST_MAP()
  LOG4CXX_CAST_ENTRY(LineAppender)
  LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
  END_LOG4CXX_CAST_MAP()

  LineAppender();
  /// \param Format how events become lines.
  explicit LineAppender(const LayoutPtr &Format);

  void close() override {}
  bool requiresLayout() const override { return true; }

protected:
  void append(const spi::LoggingEventPtr &Event, helpers::Pool &Pool) override;

private:
  bool tryWrite(std::string_view Line);
  void writeDropped();

  gooseberry::LineBudget Budget_;
  bool IsInsideLine_ = false; ///< The last write ended in the middle of a line.
};

} // namespace log4cxx

#endif // GOOSEBERRYBEAM_SRC_LOG_LINEAPPENDER_H
