/// \file
/// Keeps the origins of streams in the store.
#ifndef GOOSEBERRYBEAM_RELAYD_STREAMORIGINKEEPER_H
#define GOOSEBERRYBEAM_RELAYD_STREAMORIGINKEEPER_H

#include "gooseberrybeam/relayd/HomeLink.h"
#include "gooseberrybeam/relayd/StreamOriginRows.h"

#include <span>
#include <string>
#include <vector>

namespace gooseberry {

/// Saves the origins that instances report to this one as their home, in
/// batches, and reads what homes have saved when a caller takes up a stream
/// that the home does not know. Not thread-safe.
class StreamOriginKeeper {
public:
  /// \param Context runs the timers and coroutines; outlives the keeper.
  /// \param Store the store; outlives the keeper.
  /// \param Home knows the origins; outlives the keeper.
  /// \param Self the name of this instance.
  StreamOriginKeeper(asio::io_context &Context, RowStore &Store, HomeLink &Home,
                     InstanceId Self);

  /// Starts to save, and to read for the home.
  void start();

private:
  Task<void> runSaves();
  Task<void> save(std::vector<StreamOrigin> Origins);
  void requestRead();
  Task<void> runReads();

  asio::io_context &Context_;
  RowStore &Store_;
  HomeLink &Home_;
  InstanceId Self_;
  /// The time of day as of `StartedAt_`; it goes on evenly from there.
  Duration StartTimeOfDay_;
  TimePoint StartedAt_;
  std::string LastKey_;
  std::vector<StreamOrigin> LastOrigins_; ///< In the row with that key.
  bool IsReading_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_STREAMORIGINKEEPER_H
