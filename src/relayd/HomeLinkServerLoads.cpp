#include "gooseberrybeam/relayd/HomeLink.h"

namespace gooseberry {

void HomeLink::shareServerLoads(ServerLoadHandlers Handlers) {
  ServerLoadHandlers_ = std::move(Handlers);
}

// Resets the counts. Those of a lost message only delay the averages.
void HomeLink::takeServerLoads(HomeHeartbeat &Message) {
  if (Message.IsAttached_ && ServerLoadHandlers_)
    Message.ServerLoads_ = ServerLoadHandlers_->TakeReports_();
}

void HomeLink::addServerLoads(HomeReply &Message) const {
  if (ServerLoadHandlers_)
    Message.ServerLoads_ = Coordinator_.serverLoads(readBootClock());
}

void HomeLink::handleServerLoads(
    std::span<const ServerLoadEstimate> Estimates) const {
  if (ServerLoadHandlers_)
    ServerLoadHandlers_->OnEstimates_(Estimates);
}

} // namespace gooseberry
