#include "FieldReader.h"
#include "gooseberrybeam/config/EntityCodec.h"

#include <boost/json.hpp>

#include <algorithm>

namespace gooseberry {
namespace json = boost::json;
namespace {

constexpr std::size_t MaxNameLength = 200;
constexpr NumberRange RateRange = {0, 1e9};
constexpr NumberRange RetryBudgetRange = {0, 1};
constexpr NumberRange OutputTokensRange = {1, 1e6};
constexpr NumberRange TokensPerCallRange = {0, 1e6};

std::string pathOf(const EntityRef &Ref) {
  std::string Path = "/";
  Path += asSection(Ref.Kind_);
  Path += "/" + asPointerToken(Ref.Name_);
  return Path;
}

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.' || Character == ':';
}

bool isName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), isNameCharacter);
}

bool isPrefixCharacter(char Character) {
  return isNameCharacter(Character) || Character == '/' || Character == '~';
}

bool isPrefix(std::string_view Prefix) {
  return Prefix.size() > 1 && Prefix.size() <= MaxNameLength &&
         Prefix.front() == '/' && Prefix.back() != '/' &&
         Prefix.find("//") == std::string_view::npos &&
         std::all_of(Prefix.begin(), Prefix.end(), isPrefixCharacter);
}

bool isMethod(std::string_view Method) {
  return !Method.empty() &&
         std::all_of(Method.begin(), Method.end(), [](char Character) {
           return Character >= 'A' && Character <= 'Z';
         });
}

Entity parseClass(const EntityRef &Ref, FieldReader &Fields) {
  WorkClass Class;
  Class.Name_.Value_ = Ref.Name_;
  Class.FirstTokenTarget_ = Fields.milliseconds("first_token_ms");
  Class.BetweenTokensTarget_ = Fields.milliseconds("between_tokens_ms");
  Class.AnswerTarget_ = Fields.milliseconds("answer_ms");
  Class.MayWait_ = Fields.flag("may_wait");
  const std::optional<Duration> MaxWait = Fields.milliseconds("max_wait_ms");
  Class.MaxWait_ = MaxWait.value_or(Duration());
  Class.RetryBudget_ = Fields.number("retry_budget", RetryBudgetRange)
                           .value_or(DefaultRetryBudget);
  if (!Class.FirstTokenTarget_ && !Class.AnswerTarget_)
    Fields.addFault("first_token_ms", ConfigFaultKind::MissingTarget,
                    "first_token_ms or answer_ms is needed");
  if (Class.MayWait_ && !MaxWait)
    Fields.addFault("max_wait_ms", ConfigFaultKind::MissingField,
                    "needed with may_wait");
  return Class;
}

Entity parseOrganisation(const EntityRef &Ref, FieldReader &Fields) {
  Organisation Parsed;
  Parsed.Name_.Value_ = Ref.Name_;
  Parsed.RateTokensPerSecond_ =
      Fields.requiredNumber("rate_tokens_per_s", RateRange);
  Parsed.BurstTokens_ = Fields.requiredNumber("burst_tokens", RateRange);
  const auto Classes = Fields.strings("classes");
  for (const std::string &Class : Classes.value_or(std::vector<std::string>()))
    Parsed.AllowedClasses_.push_back({Class});
  Parsed.MayOverrideClass_ = Fields.flag("may_override_class");
  return Parsed;
}

Entity parseModel(const EntityRef &Ref, FieldReader &Fields) {
  ModelEntry Model;
  Model.Name_.Value_ = Ref.Name_;
  Model.Class_.Value_ = Fields.requiredString("class");
  Model.MaxOutputTokens_ =
      Fields.count("max_tokens", OutputTokensRange, DefaultMaxOutputTokens);
  Model.DefaultOutputTokens_ =
      Fields.count("default_max_tokens", OutputTokensRange,
                   std::min(DefaultOutputTokens, Model.MaxOutputTokens_));
  if (Model.DefaultOutputTokens_ > Model.MaxOutputTokens_)
    Fields.addFault("default_max_tokens", ConfigFaultKind::OutOfRange,
                    "at most max_tokens");
  const auto Adapters = Fields.strings("adapters");
  Model.Adapters_ = Adapters.value_or(std::vector<std::string>());
  return Model;
}

Entity parseService(const EntityRef &Ref, FieldReader &Fields) {
  ServiceRoute Route;
  Route.Prefix_ = Ref.Name_;
  Route.Service_ = Fields.requiredString("service");
  Route.Class_.Value_ = Fields.requiredString("class");
  const auto Methods = Fields.strings("idempotent_methods");
  if (Methods)
    Route.IdempotentMethods_ = *Methods;
  for (const std::string &Method : Route.IdempotentMethods_)
    if (!isMethod(Method))
      Fields.addFault("idempotent_methods", ConfigFaultKind::BadMethod,
                      "methods are in capitals");
  Route.IsOpen_ = Fields.flag("open");
  Route.TokensPerCall_ = Fields.count("tokens_per_call", TokensPerCallRange, 1);
  return Route;
}

std::optional<Entity> parseKey(const EntityRef &Ref, const json::value &Value,
                               ConfigFaults &Faults) {
  const std::optional<KeyHash> Hash = parseKeyHash(Ref.Name_);
  if (!Hash)
    Faults.push_back({pathOf(Ref), ConfigFaultKind::BadKeyHash,
                      "64 hex digits of SHA-256 are expected"});
  if (!Value.is_string())
    Faults.push_back({pathOf(Ref), ConfigFaultKind::WrongType,
                      "an organisation's name is expected"});
  if (!Hash || !Value.is_string())
    return std::nullopt;
  return KeyGrant{*Hash, {std::string(Value.get_string())}};
}

void checkName(const EntityRef &Ref, ConfigFaults &Faults) {
  if (Ref.Kind_ == EntityKind::Service) {
    if (!isPrefix(Ref.Name_))
      Faults.push_back({pathOf(Ref), ConfigFaultKind::BadPrefix,
                        "begins with / and does not end with it"});
  } else if (!isName(Ref.Name_)) {
    Faults.push_back({pathOf(Ref), ConfigFaultKind::BadName,
                      "1 to 200 of letters, digits and -_.:"});
  }
}

using FieldsParser = Entity (*)(const EntityRef &, FieldReader &);

FieldsParser fieldsParserOf(EntityKind Kind) {
  switch (Kind) {
  case EntityKind::WorkClass:
    return parseClass;
  case EntityKind::Organisation:
    return parseOrganisation;
  case EntityKind::Model:
    return parseModel;
  case EntityKind::Service:
    return parseService;
  case EntityKind::Key:
    break;
  }
  return nullptr;
}

} // namespace

std::string asPointerToken(std::string_view Name) {
  std::string Token;
  for (const char Character : Name) {
    if (Character == '~')
      Token += "~0";
    else if (Character == '/')
      Token += "~1";
    else
      Token += Character;
  }
  return Token;
}

std::optional<Entity> parseEntity(const EntityRef &Ref,
                                  const json::value &Value,
                                  ConfigFaults &Faults) {
  if (Ref.Kind_ == EntityKind::Key)
    return parseKey(Ref, Value, Faults);
  const std::size_t InitialFaultCount = Faults.size();
  checkName(Ref, Faults);
  if (!Value.is_object()) {
    Faults.push_back(
        {pathOf(Ref), ConfigFaultKind::WrongType, "an object is expected"});
    return std::nullopt;
  }
  FieldReader Fields(Value.get_object(), pathOf(Ref), Faults);
  Entity Parsed = fieldsParserOf(Ref.Kind_)(Ref, Fields);
  Fields.addUnknownFieldFaults();
  if (Faults.size() > InitialFaultCount)
    return std::nullopt;
  return Parsed;
}

} // namespace gooseberry
