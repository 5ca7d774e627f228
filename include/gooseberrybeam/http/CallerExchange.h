/// \file
/// One request of a caller and the answer to it.
#ifndef GOOSEBERRYBEAM_HTTP_CALLEREXCHANGE_H
#define GOOSEBERRYBEAM_HTTP_CALLEREXCHANGE_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/http/BoundedParser.h"
#include "gooseberrybeam/http/ByteBudget.h"
#include "gooseberrybeam/http/CallerLimits.h"
#include "gooseberrybeam/http/CancelScope.h"
#include "gooseberrybeam/http/ErrorBody.h"
#include "gooseberrybeam/http/RequestShape.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gooseberry {

/// Reads the body of one request and writes one answer. Write methods return
/// false once the caller is gone.
class CallerExchange {
public:
  using Parser = BoundedParser<true, beast::http::buffer_body>;
  using BodyPart = Result<std::size_t, CallerError>;
  using WholeBody = Result<std::string, CallerError>;

  /// \param Stream the caller's connection; outlives the exchange.
  /// \param Buffer what was read ahead; outlives the exchange.
  /// \param Request a parser that has read the head; outlives the exchange.
  /// \param Limits bounds of the connection; outlive the exchange.
  /// \param Id the request's id.
  CallerExchange(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
                 Parser &Request, const CallerLimits &Limits, RequestId Id);
  ~CallerExchange();
  CallerExchange(const CallerExchange &) = delete;
  CallerExchange &operator=(const CallerExchange &) = delete;

  /// \returns the request's head, which may be changed.
  RequestHead &head() { return Request_.get().base(); }
  /// \returns the path of the request's target.
  std::string_view path() const;
  /// \returns the request's id.
  const RequestId &id() const { return Id_; }
  /// Takes the id that the caller gave the request.
  /// \param Id the id.
  void setId(RequestId Id) { Id_ = std::move(Id); }
  /// \returns when the head had been read.
  TimePoint arrival() const { return Arrival_; }
  /// \returns when the request has to be answered.
  TimePoint deadline() const { return Deadline_; }
  /// \returns cancelled when the caller is gone or the deadline has passed.
  CancelScope &scope() { return Scope_; }

  /// Sets the deadline and arms its timer.
  /// \param Deadline when the request has to be answered.
  void setDeadline(TimePoint Deadline);

  /// Reads the next bytes of the body.
  /// \param Into where they go; not empty.
  /// \returns the number of bytes, 0 at the end, or the error to answer with.
  Task<BodyPart> readSome(std::span<char> Into);
  /// Reads the whole body, which counts against the budget of all bodies until
  /// the exchange ends.
  /// \returns the body or the error to answer with.
  Task<WholeBody> readBody();
  /// \returns whether the body has been read to its end.
  bool isBodyRead() const { return Request_.is_done(); }
  /// Starts to watch for the caller's end of the connection to close. Call
  /// after the body has been read.
  void watchCaller();

  /// Answers with a body in memory.
  /// \param Status HTTP status.
  /// \param Fields further fields, without framing.
  /// \param Body the body.
  /// \returns whether the caller took it.
  Task<bool> answer(int Status, HttpFields Fields, std::string Body);
  /// Answers with an error; does nothing if an answer was begun.
  /// \param Error the error.
  /// \returns whether the caller took it.
  Task<bool> refuse(const CallerError &Error);
  /// Begins an answer whose body is streamed.
  /// \param Status HTTP status.
  /// \param Fields further fields, without framing.
  /// \returns whether the caller took it.
  Task<bool> beginStream(int Status, HttpFields Fields);
  /// \param Bytes the next bytes of the body.
  /// \returns whether the caller took them.
  Task<bool> write(std::string_view Bytes);
  /// Ends a streamed answer.
  /// \returns whether the caller took it.
  Task<bool> endStream();

  /// \returns whether an answer was begun.
  bool isAnswerBegun() const { return Status_ != 0; }
  /// \returns the status of the answer, 0 if none was begun.
  int status() const { return Status_; }
  /// Closes the connection after this answer.
  void closeAfter() { KeepsAlive_ = false; }
  /// \returns whether the connection may carry another request.
  bool keepsAlive() const;

private:
  struct Watch;

  bool isBodyless() const;
  Task<bool> continueIfExpected();
  bool noteSent(boost::system::error_code Error);

  beast::tcp_stream &Stream_;
  beast::flat_buffer &Buffer_;
  Parser &Request_;
  const CallerLimits &Limits_;
  RequestId Id_;
  TimePoint Arrival_;
  TimePoint Deadline_;
  CancelScope Scope_;
  std::shared_ptr<Watch> Watch_;
  HeldBytes Held_; ///< By the body that `readBody` has read.
  int Status_ = 0;
  bool IsChunked_ = false;
  bool IsEnded_ = false;
  bool KeepsAlive_ = true;
  bool IsContinued_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_CALLEREXCHANGE_H
