#include "gooseberrybeam/http/CallerServer.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "http/CallerSession.h"

#include <vector>

namespace gooseberry {

CallerServer::CallerServer(asio::io_context &Context, RequestHandler &Handler,
                           CallerLimits Limits, std::string IdPrefix)
    : Context_(Context), Handler_(Handler), Limits_(std::move(Limits)),
      IdPrefix_(std::move(IdPrefix)) {}

CallerServer::~CallerServer() = default;

RequestId CallerServer::makeId() {
  ++LastId_;
  return {IdPrefix_ + std::to_string(LastId_)};
}

void CallerServer::serve(tcp::socket Socket) {
  auto Session = std::make_unique<CallerSession>(*this, std::move(Socket));
  spawnTask(Context_, "caller", CallerSession::run(std::move(Session)));
}

void CallerServer::closeIdle() {
  IsClosing_ = true;
  for (CallerSession *Session : Sessions_)
    Session->recheckIdle();
}

void CallerServer::cancelRequests(RefusalReason Reason) {
  const std::vector<CallerSession *> Open(Sessions_.begin(), Sessions_.end());
  for (CallerSession *Session : Open)
    Session->cancelRequest(Reason);
}

} // namespace gooseberry
