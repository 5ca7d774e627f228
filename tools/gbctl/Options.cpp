#include "gbctl/Options.h"

#include <getopt.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>

namespace gooseberry {
namespace {

constexpr std::string_view DefaultInstance = "127.0.0.1:8082";

enum Flag : int {
  InstanceFlag = 'i',
  JsonFlag = 'j',
  HelpFlag = 'h',
  KeyFileFlag = 1000,
  TokenFlag,
  AuthorFlag,
  IfRevisionFlag,
  HashFlag,
  StdinFlag,
};

std::vector<std::string> split(std::string_view Text) {
  std::vector<std::string> Parts;
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    if (Comma != 0)
      Parts.emplace_back(Text.substr(0, Comma));
    Text.remove_prefix(Comma == std::string_view::npos ? Text.size()
                                                       : Comma + 1);
  }
  return Parts;
}

std::string fromEnvironment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value ? Value : "";
}

std::string firstLineOf(const std::string &Path) {
  std::ifstream File(Path);
  std::string Line;
  std::getline(File, Line);
  return Line;
}

std::string makeToken() {
  std::array<unsigned char, 12> Bytes{};
  RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size()));
  std::string Token;
  for (const unsigned char Byte : Bytes)
    Token.push_back(static_cast<char>('a' + Byte % 26));
  return Token;
}

std::optional<UsageError> setRevision(Options &Parsed, std::string_view Text) {
  Revision Number = NoRevision;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return UsageError{"--if-revision", std::string(Text), "a whole number"};
  Parsed.IfRevision_ = Number;
  return std::nullopt;
}

std::optional<UsageError> setOperatorKey(Options &Parsed,
                                         const std::string &Path) {
  Parsed.OperatorKey_ = firstLineOf(Path);
  if (Parsed.OperatorKey_.empty())
    return UsageError{"--operator-key-file", Path,
                      "a readable file whose first line is the key"};
  return std::nullopt;
}

std::optional<UsageError> setFlag(Options &Parsed, int Found,
                                  const std::string &Value) {
  switch (Found) {
  case InstanceFlag:
    Parsed.Instances_ = split(Value);
    break;
  case JsonFlag:
    Parsed.IsJson_ = true;
    break;
  case HelpFlag:
    Parsed.WantsHelp_ = true;
    break;
  case KeyFileFlag:
    return setOperatorKey(Parsed, Value);
  case TokenFlag:
    Parsed.Token_ = Value;
    break;
  case AuthorFlag:
    Parsed.Author_ = Value;
    break;
  case IfRevisionFlag:
    return setRevision(Parsed, Value);
  case HashFlag:
    Parsed.Hash_ = Value;
    break;
  case StdinFlag:
    Parsed.ReadsKey_ = true;
    break;
  default:
    return UsageError{"flag", Value, "one that gbctl --help lists"};
  }
  return std::nullopt;
}

void setDefaults(Options &Parsed) {
  if (Parsed.Instances_.empty())
    Parsed.Instances_ = split(fromEnvironment("GOOSEBERRY_INSTANCE"));
  if (Parsed.Instances_.empty())
    Parsed.Instances_.emplace_back(DefaultInstance);
  if (Parsed.OperatorKey_.empty())
    Parsed.OperatorKey_ = fromEnvironment("GOOSEBERRY_OPERATOR_KEY");
  if (Parsed.Author_.empty())
    Parsed.Author_ = fromEnvironment("USER");
  if (Parsed.Token_.empty())
    Parsed.Token_ = makeToken();
}

} // namespace

Result<Options, UsageError> parseOptions(int Count, char **Arguments) {
  static const std::array<option, 10> Flags = {{
      {"instance", required_argument, nullptr, InstanceFlag},
      {"json", no_argument, nullptr, JsonFlag},
      {"help", no_argument, nullptr, HelpFlag},
      {"operator-key-file", required_argument, nullptr, KeyFileFlag},
      {"token", required_argument, nullptr, TokenFlag},
      {"author", required_argument, nullptr, AuthorFlag},
      {"if-revision", required_argument, nullptr, IfRevisionFlag},
      {"hash", required_argument, nullptr, HashFlag},
      {"stdin", no_argument, nullptr, StdinFlag},
      {nullptr, 0, nullptr, 0},
  }};
  Options Parsed;
  opterr = 0;
  for (;;) {
    const int Found =
        getopt_long(Count, Arguments, "i:jh", Flags.data(), nullptr);
    if (Found == -1)
      break;
    const std::string Value = optarg && Found != '?' ? optarg
                              : Found == '?'         ? Arguments[optind - 1]
                                                     : "";
    if (auto Error = setFlag(Parsed, Found, Value))
      return std::move(*Error);
  }
  Parsed.Words_.assign(Arguments + optind, Arguments + Count);
  setDefaults(Parsed);
  return Parsed;
}

std::string_view helpText() {
  return R"(usage: gbctl [flags] command

  get [section [name]]         show the configuration
  log [revision]               show the changes after a revision
  diff FILE                    show what apply would change
  apply FILE                   apply a document; nothing if it has any fault
  class|org|model|service set NAME field=value...
  class|org|model|service remove NAME
  key grant ORG [--stdin|--hash H]   make up or read a key, or take its hash
  key revoke [--stdin|--hash H]      withdraw a key
  backend list                 backend servers as the instance sees them
  instance list                members as the instance sees them
  status                       state of each instance of --instance
  drain                        drain the one instance of --instance
  engine order ENGINE prefill|decode [MODEL]

  -i, --instance ip:port[,...] operator ports to try in turn
                               [GOOSEBERRY_INSTANCE, 127.0.0.1:8082]
  --operator-key-file FILE     the operators' key [GOOSEBERRY_OPERATOR_KEY]
  --if-revision N              fail if anything changed after revision N
  --token T                    idempotency token of the change
  --author A                   name kept in the log [USER]
  -j, --json                   JSON instead of tables
  -h, --help                   this text
)";
}

} // namespace gooseberry
