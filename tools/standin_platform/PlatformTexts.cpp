#include "standin_platform/PlatformTexts.h"

namespace gooseberry {
namespace {

constexpr unsigned Version11 = 11;

std::string writeRoute(const char *Name, const char *Kind, const char *Service,
                       const char *More) {
  return std::string(R"({"name":")") + Name + R"(","host":")" + RouteHost +
         R"(","path_prefix":"/)" + Name + R"(/","kind":")" + Kind +
         R"(","service":")" + Service +
         R"(","timeout_ms":5000,"target_latency_ms":500)" + More + "}";
}

} // namespace

std::string writeRegistration(const RegisteredBackend &Server) {
  std::string Row = R"({"service":")" + Server.Service_;
  Row += R"(","address":")" + Server.Address_ + R"(","zone":")" + Server.Zone_ +
         R"(",)";
  Row += R"("version":"v1","slots":8,"born":)" + std::to_string(Server.Starts_);
  Row += R"(,"state":")";
  Row += Server.IsLeaving_ ? "draining" : "ready";
  Row += R"(")";
  if (Server.Part_ == BackendPart::Prefill)
    Row += R"(,"stage":"prefill")";
  if (Server.Part_ == BackendPart::Decode)
    Row += R"(,"stage":"decode")";
  return Row + "}";
}

std::string newestRoute(int Version) {
  return "version-" + std::to_string(Version);
}

std::string writeConfiguration(int Version) {
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         writeRoute("check", "idempotent", "booking", R"(,"max_attempts":2)") +
         "," +
         writeRoute("book", "non_idempotent", "booking",
                    R"(,"max_attempts":1)") +
         "," +
         writeRoute("stream", "streaming", "writer",
                    R"(,"max_attempts":2,"sticky":true,"resumable":true)") +
         "," +
         writeRoute(newestRoute(Version).c_str(), "idempotent", "booking", "") +
         R"(],"services":[{"name":"booking"},{"name":"writer","engine":)"
         R"({"slots":8,"kv_tokens":100000,"stride":4,"kv_hold_s":0.5}}],)"
         R"("tenants":[{"name":"one","api_keys":["key-one"]},)"
         R"({"name":"two","api_keys":["key-two"]}]})";
}

std::string writeNodeSettings(const NodePlace &Of) {
  return R"({"node_name":")" + Of.Name_ +
         R"(","zone":"dc-a","ip":"127.0.0.1","listen":{"front":")" +
         Of.Callers_ + R"(","ready":")" + Of.Readiness_ +
         R"("},"port_range":[)" + std::to_string(Of.FirstInnerPort_) + "," +
         std::to_string(Of.LastInnerPort_) + R"(],"provider":{"address":")" +
         Of.Store_ + R"("},"bounds":{"grace_s":8,"budget_slack":1000}})";
}

http::request<http::string_body> makeCallerRequest(const CallerOrder &Of) {
  http::request<http::string_body> Out(Of.Verb_, Of.Path_, Version11);
  Out.set("Host", RouteHost);
  Out.set("Request-Id", Of.Id_);
  Out.set("Deadline-Ms", Of.DeadlineMs_);
  Out.set("Authorization", "Token " + Of.Key_);
  Out.set("Kv-Hold", "not yours");
  if (!Of.Tokens_.empty())
    Out.set("Token-Count", Of.Tokens_);
  Out.body() = Of.Body_;
  Out.prepare_payload();
  return Out;
}

} // namespace gooseberry
