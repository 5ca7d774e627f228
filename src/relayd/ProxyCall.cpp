#include "gooseberrybeam/relayd/ProxyCall.h"

#include "gooseberrybeam/http/HttpCall.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/RelayResponse.h"

#include <array>

namespace gooseberry {
namespace {

constexpr int HttpOk = 200;
/// The answer of an instance that is cut off itself.
constexpr int HttpMisdirected = 421;
constexpr int HttpVersion = 11;
constexpr std::size_t MaxInstances = 3;
constexpr std::size_t MaxBodyBytes = std::size_t{8} << 20;
constexpr std::size_t ReadBufferBytes = 16 * 1024;

} // namespace

HttpRequest ProxyCall::makeRequest() const {
  HttpRequest Forwarded;
  Forwarded.base() = beast::http::request_header<>(Request_.Fields_);
  Forwarded.method_string(asBeast(Request_.Method_));
  Forwarded.target(asBeast(Request_.Target_));
  Forwarded.version(HttpVersion);
  Context_.Protocol_.writeForwarded(Forwarded, Request_.timeLeft());
  Forwarded.body() = Request_.Body_;
  Forwarded.prepare_payload();
  return Forwarded;
}

Task<bool> ProxyCall::run() {
  Outcome Last = Outcome::NotTaken;
  std::size_t Tries = 0;
  for (const BackendId &Each : Context_.Home_.proxies()) {
    const bool MayRepeat =
        Last == Outcome::NotTaken || Request_.Route_.mayRetry();
    if (Tries++ == MaxInstances || !MayRepeat ||
        Request_.Exchange_.scope().isCancelled())
      break;
    Last = co_await sendTo(Each);
    logLine(LogPart::Http, LogLevel::Info, "Request passed on to an instance.",
            {{"request", Request_.Exchange_.id().Value_},
             {"instance", Each.Value_},
             {"end", Last == Outcome::Answered   ? "answered"
                     : Last == Outcome::NotTaken ? "not_taken"
                                                 : "lost"},
             {"elapsed_ms", elapsedMs(Request_.Exchange_)}});
    if (Last == Outcome::Answered)
      co_return true;
  }
  if (Last == Outcome::NotTaken)
    co_return false;
  co_await refuse(Context_, Request_.Exchange_,
                  {RefusalReason::BackendFailed, Execution::Unknown, {}},
                  "the instance that got the request did not answer");
  co_return true;
}

Task<ProxyCall::Outcome> ProxyCall::sendTo(const BackendId &Instance) {
  CancelScope &Scope = Request_.Exchange_.scope();
  auto Acquired = co_await Context_.Pool_.acquire(Instance, Scope);
  if (!isOk(Acquired))
    co_return Outcome::NotTaken;
  auto Connection = takeValue(std::move(Acquired));
  HttpRequest Forwarded = makeRequest();
  auto Head =
      co_await Connection->exchange(Forwarded, Request_.timeLeft(), Scope);
  if (!isOk(Head))
    co_return errorOf(Head).MayHaveStarted_ ? Outcome::Lost : Outcome::NotTaken;
  co_return co_await relay(Instance, std::move(Connection),
                           takeValue(std::move(Head)));
}

Task<ProxyCall::Outcome>
ProxyCall::relay(const BackendId &Instance,
                 std::unique_ptr<ClientConnection> Connection,
                 ResponseHead Head) {
  CallerExchange &Exchange = Request_.Exchange_;
  if (Context_.isDraining())
    Exchange.closeAfter();
  if (Request_.Route_.Kind_ == RouteKind::Stream && Head.Status_ == HttpOk) {
    co_await relayStream(*Connection, std::move(Head));
    Context_.Pool_.release(Instance, std::move(Connection));
    co_return Outcome::Answered;
  }
  CallLimits Limits;
  Limits.IdleTimeout_ = Request_.timeLeft();
  Limits.BodyTimeout_ = Request_.timeLeft();
  Limits.MaxBody_ = MaxBodyBytes;
  auto Body = co_await readBody(*Connection, Limits, Context_.Pool_.bodies(),
                                Exchange.scope());
  if (!isOk(Body))
    co_return Outcome::Lost;
  Context_.Pool_.release(Instance, std::move(Connection));
  if (Head.Status_ == HttpMisdirected)
    co_return Outcome::NotTaken;
  HeldBody Text = takeValue(std::move(Body));
  co_await Exchange.answer(Head.Status_, relayedFields(Head),
                           std::move(Text.Text_));
  co_return Outcome::Answered;
}

// A stream that breaks off is not ended, so that it does not look complete.
Task<void> ProxyCall::relayStream(ClientConnection &Connection,
                                  ResponseHead Head) {
  CallerExchange &Exchange = Request_.Exchange_;
  if (!co_await Exchange.beginStream(Head.Status_, relayedFields(Head)))
    co_return;
  std::array<char, ReadBufferBytes> Buffer;
  for (;;) {
    const auto Read = co_await Connection.readSome(Buffer, Request_.timeLeft(),
                                                   Exchange.scope());
    if (!isOk(Read) || Exchange.scope().isCancelled())
      co_return;
    if (valueOf(Read) == 0)
      break;
    if (!co_await Exchange.write({Buffer.data(), valueOf(Read)}))
      co_return;
  }
  if (Connection.statesEnd())
    co_await Exchange.endStream();
}

} // namespace gooseberry
