#include "gooseberrybeam/config/ConfigRows.h"
#include "gooseberrybeam/operator/OperatorServer.h"
#include "support/RowStore.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace gooseberry;
namespace asio = boost::asio;

namespace {

constexpr auto TestTimeout = std::chrono::seconds(10);

/// A table that answers every call on the next turn of the context.
class PostedTable final : public TableClient {
public:
  explicit PostedTable(asio::io_context &Context) : Context_(Context) {}

private:
  void onTransact(TableTransaction Transaction,
                  TransactHandler Handler) override {
    asio::post(Context_, [this, Transaction = std::move(Transaction),
                          Handler = std::move(Handler)] {
      Handler(Store_.apply(Transaction));
    });
  }

  void onRead(TableQuery Query, ReadHandler Handler) override {
    asio::post(Context_,
               [this, Query = std::move(Query), Handler = std::move(Handler)] {
                 TableRows Found;
                 for (const std::string &Key : Query.Keys_)
                   if (const auto Row = Store_.find(Key))
                     Found.Rows_.push_back(*Row);
                 for (const TableRange &Range : Query.Ranges_)
                   addLog(Range, Found);
                 Handler(Found);
               });
  }

  /// Ranges of these tests cover the few first revisions only.
  void addLog(const TableRange &Range, TableRows &Found) const {
    for (Revision Number = 1; Number < 10; ++Number) {
      const auto Row = Store_.find(logKeyOf(Number));
      if (Row && Row->Key_.starts_with(Range.Prefix_) &&
          Row->Key_ > Range.After_)
        Found.Rows_.push_back(*Row);
    }
  }

  asio::io_context &Context_;
  RowStore Store_;
};

class FixedSource final : public OperatorSource {
public:
  bool IsDraining_ = false;
  std::vector<std::pair<BackendId, EngineState>> Orders_;

private:
  std::vector<BackendSummary> onListBackends() const override {
    return {{{"127.0.0.1:9"}, {"dc"}, "engine", "decode m", "live", 3, 20}};
  }
  std::vector<InstanceSummary> onListInstances() const override { return {}; }
  StatusSummary onDescribeStatus() const override { return {}; }
  void onDrain() override { IsDraining_ = true; }
  void onOrder(const BackendId &Engine, const EngineState &Goal) override {
    Orders_.emplace_back(Engine, Goal);
  }
};

constexpr std::string_view Club =
    R"("changes":[{"kind":"org","name":"club",)"
    R"("value":{"rate_tokens_per_s":5,"burst_tokens":9}}]})";

/// One instance that is the only member.
class OneInstance {
public:
  explicit OneInstance(std::string_view Key = "secret")
      : Runner_(Context_, Table_, Cell_, {"one"}, 1),
        Api_(Runner_, Source_, Key) {
    Runner_.setMembers({{{"one"}, {}}});
    Runner_.start();
    while (!Runner_.node().follower().isLoaded())
      Context_.run_one();
  }

  OperatorResponse call(std::string Method, std::string Target,
                        std::string Body = "", std::string Key = "secret") {
    std::optional<OperatorResponse> Got;
    Api_.handle(
        {std::move(Method), std::move(Target), std::move(Key), std::move(Body)},
        [&Got](OperatorResponse Answer) { Got = std::move(Answer); });
    while (!Got)
      Context_.run_one();
    return *Got;
  }

  std::string outcomeOf(const std::string &Head) {
    const auto Answer =
        call("POST", "/v1/config/changes", Head + std::string(Club));
    return std::string(
        boost::json::parse(Answer.Body_).as_object().at("outcome").as_string());
  }

  asio::io_context Context_;
  PostedTable Table_{Context_};
  SnapshotCell<Configuration> Cell_{std::make_shared<const Configuration>()};
  FixedSource Source_;
  ConfigRunner Runner_;
  OperatorApi Api_;
};

} // namespace

TEST_CASE("Operators' calls need the operators' key", "[operator]") {
  OneInstance Instance;
  CHECK(Instance.call("GET", "/v1/status").Status_ == 200);
  CHECK(Instance.call("GET", "/v1/status", "", "").Status_ == 401);
  CHECK(Instance.call("GET", "/v1/status", "", "secret2").Status_ == 401);
  CHECK(Instance.call("GET", "/v1/nothing").Status_ == 404);
  SECTION("without a key set, every call is refused") {
    OneInstance Open("");
    CHECK(Open.call("GET", "/v1/status", "", "").Status_ == 401);
  }
}

TEST_CASE("A change goes into force through the operators' port",
          "[operator]") {
  OneInstance Instance;
  REQUIRE(Instance.outcomeOf(R"({"token":"a","if_revision":0,)") == "accepted");
  CHECK(Instance.Cell_.read()->findOrganisation("club"));

  SECTION("a repeat of the command is accepted at the same revision") {
    CHECK(Instance.outcomeOf(R"({"token":"a","if_revision":0,)") == "accepted");
    CHECK(Instance.Cell_.read()->revision() == 1);
  }
  SECTION("the same wish of another command changes nothing") {
    CHECK(Instance.outcomeOf(R"({"token":"b","if_revision":1,)") ==
          "no_change");
  }
  SECTION("another command on the old revision is a conflict") {
    const auto Answer =
        Instance.call("POST", "/v1/config/changes",
                      R"({"token":"b","if_revision":0,)" + std::string(Club));
    CHECK(Answer.Status_ == 409);
    CHECK(Answer.Body_.find(R"("token":"a")") != std::string::npos);
  }
  SECTION("faults are listed with their paths") {
    const auto Answer = Instance.call(
        "POST", "/v1/config/changes",
        R"({"changes":[{"kind":"key","name":"12","value":"club"},{}]})");
    CHECK(Answer.Status_ == 422);
    for (const char *Path :
         {"/token", "/if_revision", "/keys/12", "/changes/1"})
      CHECK(Answer.Body_.find(Path) != std::string::npos);
  }
  SECTION("a removal that leaves a reference is refused") {
    const std::string Hash = asHex(hashKey("k"));
    Instance.call("POST", "/v1/config/changes",
                  R"({"token":"k","if_revision":1,"changes":[{"kind":"key",)"
                  R"("name":")" +
                      Hash + R"(","value":"club"}]})");
    const auto Answer = Instance.call(
        "POST", "/v1/config/changes",
        R"({"token":"r","if_revision":2,"changes":[{"kind":"org",)"
        R"("name":"club","value":null}]})");
    CHECK(Answer.Status_ == 422);
    CHECK(Instance.Cell_.read()->findOrganisationOfKey(hashKey("k")));
  }
  SECTION("the log and the configuration can be read") {
    CHECK(Instance.call("GET", "/v1/config").Body_.find("club") !=
          std::string::npos);
    CHECK(Instance.call("GET", "/v1/config/log?after=0").Body_.find("club") !=
          std::string::npos);
    CHECK(Instance.call("GET", "/v1/config/log?after=1").Body_.find("club") ==
          std::string::npos);
  }
  SECTION("drain reaches the instance") {
    CHECK(Instance.call("POST", "/v1/drain").Status_ == 202);
    CHECK(Instance.Source_.IsDraining_);
  }
  SECTION("An engine is ordered into a role") {
    const auto Order = [&](std::string Body) {
      return Instance.call("POST", "/v1/orders", std::move(Body)).Status_;
    };
    CHECK(Order(R"({"engine":"127.0.0.1:9","role":"prefill"})") == 202);
    REQUIRE(Instance.Source_.Orders_.size() == 1);
    CHECK(Instance.Source_.Orders_[0].second.Role_ == EngineRole::Prefill);
    SECTION("if it exists and the role is known") {
      CHECK(Order(R"({"engine":"127.0.0.1:8","role":"prefill"})") == 404);
      CHECK(Order(R"({"engine":"127.0.0.1:9","role":"both"})") == 400);
      CHECK(Order("[]") == 400);
      CHECK(Instance.Source_.Orders_.size() == 1);
    }
  }
}

// Guards against the end of the process by one request.
TEST_CASE("A trailer field that no message can hold closes its connection to "
          "the operators' port",
          "[operator]") {
  OneInstance Instance;
  OperatorServer Server(Instance.Context_, Instance.Api_);
  REQUIRE_FALSE(Server.listen({asio::ip::make_address("127.0.0.1"), 0}));
  std::string Got;
  std::thread Client([Port = Server.port(), &Got, &Instance] {
    asio::io_context Context;
    asio::ip::tcp::socket Socket(Context);
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
    const std::string Bytes = "POST /v1/orders HTTP/1.1\r\nHost: x\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\nx: " +
                              std::string(70'000, 'z') + "\r\n\r\n";
    boost::system::error_code Error;
    asio::write(Socket, asio::buffer(Bytes), Error);
    asio::read(Socket, asio::dynamic_buffer(Got), Error);
    Instance.Context_.stop();
  });
  CHECK_NOTHROW(Instance.Context_.run_for(TestTimeout));
  // Closes what an exception would have left open.
  Instance.Context_.restart();
  Instance.Context_.run_for(std::chrono::milliseconds(1));
  Client.join();
  CHECK(Got.empty());
}

TEST_CASE("The operators' port speaks HTTP", "[operator]") {
  OneInstance Instance;
  OperatorServer Server(Instance.Context_, Instance.Api_);
  REQUIRE_FALSE(Server.listen({asio::ip::make_address("127.0.0.1"), 0}));
  std::string Got;
  std::thread Client([Port = Server.port(), &Got, &Instance] {
    asio::io_context Context;
    asio::ip::tcp::socket Socket(Context);
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
    asio::write(Socket, asio::buffer(std::string_view(
                            "GET /v1/backends HTTP/1.1\r\nHost: x\r\n"
                            "X-Operator-Key: secret\r\n\r\n")));
    asio::read_until(Socket, asio::dynamic_buffer(Got), "}]}");
    Instance.Context_.stop();
  });
  Instance.Context_.run();
  Client.join();
  CHECK(Got.starts_with("HTTP/1.1 200"));
  CHECK(Got.find("127.0.0.1:9") != std::string::npos);
}
