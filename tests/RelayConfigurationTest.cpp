#include "gooseberrybeam/relay/RelayConfiguration.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

RelayRoute makeRoute(std::string Name, std::string Host, std::string Prefix) {
  RelayRoute Route;
  Route.Name_ = std::move(Name);
  Route.Host_ = std::move(Host);
  Route.PathPrefix_ = std::move(Prefix);
  Route.Targets_ = {{{"svc"}, 1}};
  return Route;
}

} // namespace

TEST_CASE("A configuration finds routes and the owners of keys", "[relay]") {
  RelayConfigurationParts Parts;
  Parts.Version_ = 7;
  Parts.Routes_ = {makeRoute("short", "a.example", "/x/"),
                   makeRoute("long", "a.example", "/x/y/"),
                   makeRoute("other", "b.example", "/x/")};
  RelayOrganisation Acme;
  Acme.Name_ = {"acme"};
  Acme.Keys_ = {"k1", "k2"};
  Parts.Organisations_ = {Acme};
  const RelayConfiguration Configuration(Parts);

  SECTION("the longest prefix of the host wins") {
    CHECK(Configuration.findRoute("a.example", "/x/1")->Name_ == "short");
    CHECK(Configuration.findRoute("a.example", "/x/y/1")->Name_ == "long");
    CHECK(Configuration.findRoute("b.example", "/x/y/1")->Name_ == "other");
    SECTION("regardless of the host's case and port") {
      CHECK(Configuration.findRoute("A.Example:80", "/x/1")->Name_ == "short");
    }
  }
  SECTION("an unknown host or path has no route") {
    CHECK(Configuration.findRoute("c.example", "/x/1") == nullptr);
    CHECK(Configuration.findRoute("a.example", "/z/1") == nullptr);
    CHECK(Configuration.findRoute("a.example", "/x") == nullptr);
  }
  SECTION("every key of an organisation identifies it, and no other key does") {
    CHECK(Configuration.findOrganisationByKey("k2")->Name_.Value_ == "acme");
    CHECK(Configuration.findOrganisationByKey("k3") == nullptr);
    CHECK(Configuration.findOrganisationByKey("") == nullptr);
  }
}

TEST_CASE("A route's requests are split by weight", "[relay]") {
  RelayRoute Route = makeRoute("r", "h", "/");
  Route.Targets_ = {{{"old"}, 90}, {{"new"}, 10}};
  CHECK(chooseTarget(Route, 0.0).Value_ == "old");
  CHECK(chooseTarget(Route, 0.89).Value_ == "old");
  CHECK(chooseTarget(Route, 0.91).Value_ == "new");
  CHECK(chooseTarget(Route, 0.999).Value_ == "new");
}

TEST_CASE("Only idempotent requests and resumable streams are retried",
          "[relay]") {
  RelayRoute Route = makeRoute("r", "h", "/");
  Route.Kind_ = RouteKind::Idempotent;
  CHECK(Route.mayRetry());
  Route.Kind_ = RouteKind::NonIdempotent;
  CHECK_FALSE(Route.mayRetry());
  Route.Kind_ = RouteKind::Stream;
  CHECK_FALSE(Route.mayRetry());
  Route.IsResumable_ = true;
  CHECK(Route.mayRetry());
}

TEST_CASE("A configuration knows which services have requests of several ranks",
          "[relay]") {
  RelayConfigurationParts Parts;
  Parts.Routes_ = {makeRoute("a", "a.example", "/"),
                   makeRoute("b", "b.example", "/")};
  RelayOrganisation Acme;
  Acme.Name_ = {"acme"};
  const auto HasRanks = [&] {
    Parts.Organisations_ = {Acme};
    return RelayConfiguration(Parts).hasRanks({"svc"});
  };
  // Failure: engines get a field that no configuration asked for.
  CHECK_FALSE(HasRanks());

  SECTION("routes of the service differ") {
    Parts.Routes_[1].Priority_ = 3;
    CHECK(HasRanks());
    SECTION("unless the only organisation overrides them") {
      Acme.Priority_ = 2;
      CHECK_FALSE(HasRanks());
      SECTION("on routes that are not public") {
        Parts.Routes_[1].IsPublic_ = true;
        CHECK(HasRanks());
      }
    }
    SECTION("but not those of another service") {
      Parts.Routes_[1].Targets_ = {{{"other"}, 1}};
      CHECK_FALSE(HasRanks());
    }
  }
  SECTION("an organisation overrides the priority of routes") {
    Acme.Priority_ = 2;
    Parts.Routes_[1].IsPublic_ = true;
    CHECK(HasRanks());
  }
}
