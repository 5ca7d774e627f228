#include "PlatformProtocol.h"
#include "gooseberrybeam/peers/PeerMessage.h"
#include "gooseberrybeam/relay/HomeCoordinator.h"
#include "gooseberrybeam/relayd/HomeCodec.h"
#include "gooseberrybeam/relayd/QuarantineRow.h"
#include "support/Mutations.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

using namespace gooseberry;
using namespace gooseberry::platform;
using namespace std::chrono_literals;

namespace {

constexpr int FuzzCases = 4000;
constexpr double Infinity = std::numeric_limits<double>::infinity();
constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();
constexpr Duration LongestTime = 24h * 366;

bool isInRange(Duration Time) {
  return Time <= LongestTime && Time >= -LongestTime;
}

bool isAmount(double Value) { return std::isfinite(Value) && Value >= 0; }

template <typename T> bool areSound(const T &Message) {
  for (const LimitUtilisation &Each : Message.Utilisation_)
    if (!isAmount(Each.UsedFraction_))
      return false;
  for (const ServerLimit &Each : Message.ServerLimits_)
    if (!isAmount(Each.RequestsPerSecond_))
      return false;
  for (const CrashSuspect &Each : Message.CrashSuspects_)
    if (Each.Age_ < 0s || !isInRange(Each.Age_))
      return false;
  for (const RequestSuspect &Each : Message.RequestSuspects_)
    if (Each.Age_ < 0s || !isInRange(Each.Age_))
      return false;
  if (const auto &Contact = Message.StoreContact_)
    if (Contact->Age_ < 0s || !isInRange(Contact->Age_) ||
        Contact->Length_ < 0s || !isInRange(Contact->Length_))
      return false;
  return true;
}

bool isSound(const HomeHeartbeat &Message) {
  for (const TokenUsage &Each : Message.TokenUsage_)
    if (!isAmount(Each.Tokens_) || Each.Age_ < 0s || !isInRange(Each.Age_))
      return false;
  return areSound(Message) && Message.Uptime_ >= 0s &&
         isInRange(Message.Uptime_);
}

bool isSound(const HomeReply &Message) {
  for (const FeedState &Each : Message.Feeds_)
    if (Each.Age_ < 0s || !isInRange(Each.Age_))
      return false;
  return areSound(Message);
}

bool isSound(const PlacementRequest &Message) {
  return isInRange(Message.TargetLeft_) && isInRange(Message.TimeLeft_) &&
         isInRange(Message.PatienceLeft_);
}

bool isSound(const PlacementDenial &Message) {
  return !Message.RetryAfter_ ||
         (*Message.RetryAfter_ >= 0s && isInRange(*Message.RetryAfter_));
}

bool isSound(const GenerationReport &Message) {
  return Message.Elapsed_ >= 0s && isInRange(Message.Elapsed_);
}

bool isSound(const ServerLimitReport &Message) {
  return !Message.RequestsPerSecond_ || isAmount(*Message.RequestsPerSecond_);
}

bool isSound(const ServerTokenAnswer &Message) {
  return Message.RetryAfter_ >= 0s && isInRange(Message.RetryAfter_);
}

template <typename T> bool isSound(const T &) { return true; }

HomeHeartbeat makeHeartbeat() {
  HomeHeartbeat Message;
  Message.Sequence_ = 4;
  Message.Uptime_ = 12s;
  Message.IsAttached_ = true;
  Message.Attachment_ = 3;
  Message.TokenUsage_ = {{{"acme"}, 250.5, 3s}, {{"other"}, 1, 0s}};
  Message.RunningGenerations_ = {
      {{"r"}, {"acme"}, {"svc"}, {"d1"}, 5000, 630, 4400}};
  Message.Utilisation_ = {{{"acme"}, 0.5}};
  Message.CrashSuspects_ = {{{{"s1"}, {"s2"}}, 3, 5s}};
  Message.RequestSuspects_ = {{{7, 1}, 3, 5s}};
  Message.StoreContact_ = StoreContactSpan{80ms, 40s};
  Message.ServerLimits_ = {{{"s1"}, 1.5}, {{"s2"}, 0}};
  Message.LeavingServers_ = {{{"s3"}, 1791444837026}};
  return Message;
}

std::vector<HomeMessage> makeSamples() {
  HomeReply Reply;
  Reply.Feeds_ = {{{101, 99, 80ms, true}, {{102, 3}, {7, 3}, 2s, false}, {}}};
  Reply.Utilisation_ = {{{"acme"}, 0.5}};
  Reply.CrashSuspects_ = {{{{"s1"}}, 1, 80ms}};
  Reply.ServerLimits_ = {{{"s1"}, 1.5}};
  PlacementRequest Request;
  Request.Request_ = {"r"};
  Request.Organisation_ = {"acme"};
  Request.Service_ = {"svc"};
  Request.PromptTokens_ = 5000;
  Request.TimeLeft_ = 13s;
  Request.PatienceLeft_ = 3600ms;
  Request.SharedSegments_ = {{"s1"}, {"s2"}};
  TableUpdate Update;
  Update.Version_ = {12, 1};
  Update.Rows_ = {{"k", "v", {11, 1}}};
  return {makeHeartbeat(),
          Reply,
          Request,
          PlacementGrant{{"r"}, ChosenServer{{"p"}, {"a:1"}}, {{"d"}, {"a:2"}}},
          PlacementDenial{{"r"}, RefusalReason::RateExceeded, 20ms},
          GenerationReport{
              {"r"}, GenerationStep::Progressed, {"d1"}, 63, 55ms, {{"s1"}}},
          TableRequest{SharedTableId::Servers, {9, 1}},
          Update,
          ServerLimitReport{{"s1"}, 1.5},
          ServerTokenRequest{7, {"s1"}},
          ServerTokenAnswer{7, 400ms}};
}

HomeHeartbeat resent(const HomeHeartbeat &Message) {
  const auto Parsed = parseHomeMessage(encodeHomeMessage(Message));
  REQUIRE(Parsed);
  return std::get<HomeHeartbeat>(*Parsed);
}

} // namespace

TEST_CASE("An odd value in a peer's message voids one entry", "[relay][odd]") {
  HomeHeartbeat Message = makeHeartbeat();

  SECTION("an amount that is none") {
    for (const double Odd : {NotANumber, Infinity, -Infinity, -1.0}) {
      Message.TokenUsage_[0].Tokens_ = Odd;
      Message.ServerLimits_[0].RequestsPerSecond_ = Odd;
      Message.Utilisation_[0].UsedFraction_ = Odd;
      const HomeHeartbeat Read = resent(Message);
      CHECK(isSound(Read));
      CHECK(Read.TokenUsage_.size() == 1);
      CHECK(Read.ServerLimits_.size() == 1);
      CHECK(Read.Utilisation_.empty());
      CHECK(Read.LeavingServers_ == Message.LeavingServers_);
      const auto Report =
          parseHomeMessage(encodeHomeMessage(ServerLimitReport{{"s1"}, Odd}));
      CHECK_FALSE(Report);
    }
  }
  SECTION("a time that no clock reaches") {
    for (const Duration Odd : {Duration::max(), Duration::min()}) {
      Message.Uptime_ = Odd;
      Message.TokenUsage_[0].Age_ = Odd;
      Message.CrashSuspects_[0].Age_ = Odd;
      Message.RequestSuspects_[0].Age_ = Odd;
      Message.StoreContact_ = StoreContactSpan{Odd, Odd};
      CHECK(isSound(resent(Message)));
      PlacementRequest Request;
      Request.TimeLeft_ = Odd;
      Request.TargetLeft_ = Odd;
      Request.PatienceLeft_ = Odd;
      const auto Read = parseHomeMessage(encodeHomeMessage(Request));
      REQUIRE(Read);
      CHECK(isSound(std::get<PlacementRequest>(*Read)));
    }
  }
}

TEST_CASE("A changed peer message is sound or none", "[relay][odd]") {
  Mutations Change(4);
  const auto Samples = makeSamples();
  int Accepted = 0;
  for (int I = 0; I != FuzzCases; ++I) {
    const std::string Bytes = Change.mutated(encodeHomeMessage(
        Samples[static_cast<std::size_t>(I) % Samples.size()]));
    const auto Parsed = parseHomeMessage(Bytes);
    Accepted += Parsed ? 1 : 0;
    REQUIRE(
        (!Parsed ||
         std::visit([](const auto &Each) { return isSound(Each); }, *Parsed)));
    REQUIRE_NOTHROW(parsePeerMessage(
        Change.mutated(encodePeerMessage(PlacementBytes{Bytes}))));
  }
  CHECK(Accepted > 0);
  CHECK(Accepted < FuzzCases);
}

TEST_CASE("An odd amount of a peer voids no limit", "[relay][odd]") {
  const BackendDirectory Directory;
  HomeCoordinator Home(Directory, {8s, 0});
  const TimePoint Now(100s);
  RelayConfigurationParts Parts;
  RelayOrganisation Organisation;
  Organisation.Name_ = {"acme"};
  Organisation.Limit_ = TokenLimit{1000, 1000};
  Parts.Organisations_ = {Organisation};
  Home.configure(std::make_shared<const RelayConfiguration>(std::move(Parts)),
                 Now);
  HomeHeartbeat Message;
  Message.IsAttached_ = true;
  Message.Uptime_ = 50s;
  Message.Attachment_ = 1;
  Message.TokenUsage_ = {{{"acme"}, 5000, 0s}};
  SECTION("not a number") {
    Message.TokenUsage_.push_back({{"acme"}, NotANumber, 0s});
  }
  SECTION("a negative one") {
    Message.TokenUsage_.push_back({{"acme"}, -1e9, 0s});
  }
  SECTION("a negative age") {
    Message.TokenUsage_.push_back({{"acme"}, 1, -1h});
    Message.TokenUsage_.push_back({{"acme"}, 4000, 0s});
  }
  Home.onHeartbeat({"edge"}, resent(Message), Now);
  PlacementRequest Request;
  Request.Request_ = {"r"};
  Request.Organisation_ = {"acme"};
  Request.PromptTokens_ = 8000;
  Home.onPlacementRequest({"edge"}, Request, Now);
  const auto Decisions = Home.decide(Now);
  REQUIRE(Decisions.size() == 1);
  CHECK(std::get<PlacementDenial>(Decisions.front().Answer_).Reason_ ==
        RefusalReason::RateExceeded);
}

TEST_CASE("A home that hears changed messages goes on deciding",
          "[relay][odd]") {
  BackendDirectory Directory;
  for (const auto Role : {EngineRole::Prefill, EngineRole::Decode}) {
    BackendEntry Engine;
    Engine.Id_ = {Role == EngineRole::Prefill ? "p" : "d1"};
    Engine.Service_ = {"svc"};
    Engine.Role_ = Role;
    Directory.put(Engine);
  }
  RelayConfigurationParts Parts;
  Parts.Version_ = 1;
  RelayOrganisation Organisation;
  Organisation.Name_ = {"acme"};
  Organisation.Limit_ = TokenLimit{1e6, 1e6};
  Parts.Organisations_ = {Organisation};
  EngineTraits Traits;
  Traits.Slots_ = 8;
  Traits.KvTokens_ = 100'000;
  Parts.Services_ = {{{"svc"}, 100, Traits}};
  HomeCoordinator Home(Directory, {8s, 1000});
  TimePoint Now(100s);
  Home.configure(std::make_shared<const RelayConfiguration>(std::move(Parts)),
                 Now);
  Home.setInstanceCount(2);
  Mutations Change(7);
  const auto Samples = makeSamples();
  int Grants = 0;
  for (int I = 0; I != 5 * FuzzCases; ++I, Now += 3ms) {
    const InstanceId Sender = {Change.chance(2) ? "a" : "b"};
    std::string Bytes =
        encodeHomeMessage(Samples[Change.below(Samples.size())]);
    if (Change.chance(2))
      Bytes = Change.mutated(Bytes);
    const auto Parsed = parseHomeMessage(Bytes);
    if (!Parsed)
      continue;
    if (const auto *Heartbeat = std::get_if<HomeHeartbeat>(&*Parsed))
      Home.onHeartbeat(Sender, *Heartbeat, Now);
    if (const auto *Request = std::get_if<PlacementRequest>(&*Parsed))
      Home.onPlacementRequest(Sender, *Request, Now);
    if (const auto *Report = std::get_if<GenerationReport>(&*Parsed))
      Home.onReport(*Report, Now);
    if (const auto *Limit = std::get_if<ServerLimitReport>(&*Parsed))
      Home.onServerLimit(*Limit, Now);
    if (const auto *Token = std::get_if<ServerTokenRequest>(&*Parsed))
      REQUIRE(Home.takeServerToken(Token->Server_, Now) >= 0s);
    for (const PlacementDecision &Each : Home.decide(Now))
      Grants += std::holds_alternative<PlacementGrant>(Each.Answer_) ? 1 : 0;
    for (const LimitUtilisation &Each : Home.utilisation(Now))
      REQUIRE(isAmount(Each.UsedFraction_));
  }
  CHECK(Grants > 0);
}

TEST_CASE("Whatever a caller's head names reaches the home",
          "[relay][platform][odd]") {
  const PlatformProtocol Protocol;
  RequestHead Head;
  std::string Id = "r1";
  std::string Segments = "a:1,b:2,c:3";
  SECTION("as a request id that is not UTF-8") { Id = "r\xff\x80"; }
  SECTION("as a prompt segment that is not UTF-8") {
    Segments = "a\xff:1,\x80\xc0:2,c:3";
  }
  Head.set("Request-Id", Id);
  Head.set("Prompt-Prefix", Segments);
  const CallerRequestInfo Info = Protocol.parseCallerRequest(Head);
  PlacementRequest Request;
  Request.Request_ = Info.RequestId_;
  Request.SharedSegments_ = Info.SharedSegments_;
  Request.PatienceLeft_ = 2s;
  const auto Read = parseHomeMessage(encodeHomeMessage(Request));
  REQUIRE(Read);
  CHECK(std::get<PlacementRequest>(*Read) == Request);
  const std::vector<CrashSuspect> Quarantined = {
      {Info.SharedSegments_, QuarantineCrashes, {}}};
  CHECK(parseQuarantineRow(makeQuarantineRow(Quarantined)) == Quarantined);
}

TEST_CASE("Odd heads of callers are read or malformed", "[platform][odd]") {
  const PlatformProtocol Protocol;
  const auto Parse = [&](const char *Field, const std::string &Value) {
    RequestHead Head;
    Head.set(Field, Value);
    return Protocol.parseCallerRequest(Head);
  };

  SECTION("a time left that no clock reaches") {
    CHECK(Parse("Deadline-Ms", "9223372036854775807").TimeLeft_ > 30s);
    CHECK(isInRange(*Parse("Deadline-Ms", "9223372036854775807").TimeLeft_));
    CHECK(Parse("Deadline-Ms", "-9223372036854775808").TimeLeft_ < 0s);
    CHECK(isInRange(*Parse("Deadline-Ms", "-9223372036854775808").TimeLeft_));
  }
  SECTION("a number that is none") {
    for (const char *Odd :
         {"99999999999999999999", "1e3", "nan", "0.5", "+1", "--1", "1,1"})
      CHECK_FALSE(Parse("Deadline-Ms", Odd).IsWellFormed_);
    for (const char *Odd :
         {"4294967296,1", "1,4294967296", "-1,1", "1,", ",1", "1,1,1", "1e3"})
      CHECK_FALSE(Parse("Token-Count", Odd).IsWellFormed_);
    for (const char *Odd : {"4294967296", "-1", "nan"})
      CHECK(Parse("Length-Hint", Odd).LengthHint_ == 0);
  }
  SECTION("a prompt of thousands of segments") {
    std::string Many;
    for (int I = 0; I != 10'000; ++I)
      Many += std::to_string(I) + ',';
    const auto Info = Parse("Prompt-Prefix", Many);
    CHECK(Info.SharedSegments_.size() <= 256);
    CHECK(Info.SharedSegments_.front() == PromptSegmentId{"0"});
    CHECK(Parse("Prompt-Prefix", std::string(60'000, ','))
              .SharedSegments_.empty());
  }
  SECTION("whatever was changed in a good one") {
    Mutations Change(5);
    for (int I = 0; I != FuzzCases; ++I) {
      RequestHead Head;
      Head.set("Deadline-Ms", Change.mutated("14000"));
      Head.set("Token-Count", Change.mutated("1460,80"));
      Head.set("Length-Hint", Change.mutated("60"));
      Head.set("Prompt-Prefix", Change.mutated("a:800, b:410,c:250"));
      const CallerRequestInfo Info = Protocol.parseCallerRequest(Head);
      REQUIRE((!Info.TimeLeft_ || isInRange(*Info.TimeLeft_)));
      ResponseHead Response;
      Response.Status_ = 503;
      Response.Fields_.set("Server-Limit", Change.mutated("7.5"));
      Response.Fields_.set("Retry-After", Change.mutated("2.5"));
      const ServerResponseInfo Read = Protocol.parseServerResponse(Response);
      REQUIRE((!Read.RequestsPerSecond_ || isAmount(*Read.RequestsPerSecond_)));
      REQUIRE((!Read.PauseTime_ ||
               (*Read.PauseTime_ >= 0s && *Read.PauseTime_ <= 1h)));
    }
  }
}

TEST_CASE("Odd answers of prefill engines name no place", "[platform][odd]") {
  const PlatformProtocol Protocol;
  const std::string Good = R"({"kv_handle":"h1","tokens":100,"version":1})";
  REQUIRE(Protocol.parsePrefillResponse(Good));
  for (const std::string &Odd :
       {std::string(200'000, '['), std::string(R"({"kv_handle":7})"),
        std::string(R"({"kv_handle":"a b"})"), std::string("\xff")})
    CHECK_FALSE(Protocol.parsePrefillResponse(Odd));
  Mutations Change(6);
  for (int I = 0; I != FuzzCases; ++I) {
    const auto Prompt = Protocol.parsePrefillResponse(Change.mutated(Good));
    if (!Prompt)
      continue;
    for (const unsigned char Each : Prompt->Handle_)
      REQUIRE((Each > 0x20 && Each < 0x7f));
    REQUIRE_NOTHROW(Protocol.makeReleaseRequest(Prompt->Handle_));
  }
}
