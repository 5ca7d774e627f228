#include "gbctl/Session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

#include <iostream>
#include <sstream>
#include <thread>

using namespace gooseberry;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Keeps what is printed out of the tests' output.
class MutedOutput {
public:
  MutedOutput()
      : Out_(std::cout.rdbuf(Text_.rdbuf())),
        Error_(std::cerr.rdbuf(Text_.rdbuf())) {}
  ~MutedOutput() {
    std::cout.rdbuf(Out_);
    std::cerr.rdbuf(Error_);
  }
  MutedOutput(const MutedOutput &) = delete;
  MutedOutput &operator=(const MutedOutput &) = delete;

  std::string text() const { return Text_.str(); }

private:
  std::ostringstream Text_;
  std::streambuf *Out_;
  std::streambuf *Error_;
};

/// An operator port that reads one call, and answers it or hangs up.
class OneCallServer {
public:
  /// \param Answer a JSON body; empty hangs up after the call was read.
  OneCallServer(unsigned Status, std::string Answer)
      : Acceptor_(Context_, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread_([this, Status, Answer = std::move(Answer)] {
          serve(Status, Answer);
        }) {}
  ~OneCallServer() { Thread_.join(); }
  OneCallServer(const OneCallServer &) = delete;
  OneCallServer &operator=(const OneCallServer &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  }
  const std::string &body() { return Body_; }

private:
  void serve(unsigned Status, const std::string &Answer) {
    asio::ip::tcp::socket Socket(Context_);
    Acceptor_.accept(Socket);
    boost::beast::flat_buffer Buffer;
    http::request<http::string_body> Call;
    http::read(Socket, Buffer, Call);
    Body_ = Call.body();
    if (Answer.empty())
      return;
    http::response<http::string_body> Reply;
    Reply.result(Status);
    Reply.body() = Answer;
    Reply.prepare_payload();
    http::write(Socket, Reply);
  }

  asio::io_context Context_;
  asio::ip::tcp::acceptor Acceptor_;
  std::string Body_;
  std::thread Thread_;
};

Options makeOptions(std::vector<std::string> Instances) {
  Options Given;
  Given.Instances_ = std::move(Instances);
  Given.Token_ = "token-1";
  return Given;
}

ExitCode changeVia(const Options &Given) {
  Session Run(Given);
  return Run.change({}, 7, true);
}

constexpr const char *Accepted = R"({"outcome":"accepted","revision":8})";
constexpr const char *NotApplied =
    R"({"outcome":"not_applied","reason":"table_unavailable"})";

} // namespace

TEST_CASE("gbctl says what became of a change", "[gbctl]") {
  MutedOutput Output;
  SECTION("an instance that cannot be reached is passed over") {
    OneCallServer Second(200, Accepted);
    CHECK(changeVia(makeOptions({"127.0.0.1:1", Second.address()})) ==
          ExitCode::Done);
  }
  SECTION("no instance can be reached") {
    CHECK(changeVia(makeOptions({"127.0.0.1:1"})) == ExitCode::NotReached);
  }
  SECTION("a lost reply is resolved by the next instance, same token") {
    OneCallServer First(0, "");
    OneCallServer Second(200, Accepted);
    CHECK(changeVia(makeOptions({First.address(), Second.address()})) ==
          ExitCode::Done);
    CHECK(Second.body().find("token-1") != std::string::npos);
  }
  SECTION("a lost reply alone is unknown, and the way out is printed") {
    OneCallServer First(0, "");
    CHECK(changeVia(makeOptions({First.address()})) == ExitCode::Unknown);
    CHECK(Output.text().find("--token token-1 --if-revision 7") !=
          std::string::npos);
  }
  SECTION("after a lost reply, 'not applied' elsewhere proves nothing") {
    OneCallServer First(0, "");
    OneCallServer Second(503, NotApplied);
    CHECK(changeVia(makeOptions({First.address(), Second.address()})) ==
          ExitCode::Unknown);
  }
  SECTION("without a lost reply 'not applied' is true") {
    OneCallServer First(503, NotApplied);
    CHECK(changeVia(makeOptions({First.address()})) == ExitCode::NotApplied);
  }
  SECTION("a conflict lists what others changed") {
    OneCallServer First(409, R"({"outcome":"conflict","revision":9,"since":[)"
                             R"({"revision":9,"author":"rana"}]})");
    CHECK(changeVia(makeOptions({First.address()})) == ExitCode::Conflict);
    CHECK(Output.text().find("rana") != std::string::npos);
  }
}
