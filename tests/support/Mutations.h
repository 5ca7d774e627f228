/// \file
/// Random changes of a text, by a seed.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_MUTATIONS_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_MUTATIONS_H

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace gooseberry {

/// Changes texts as a faulty writer might.
class Mutations {
public:
  /// \param Seed determines all changes.
  explicit Mutations(std::uint32_t Seed) : Random_(Seed) {}

  /// \param OneIn the inverse of the probability.
  bool chance(std::uint32_t OneIn) { return below(OneIn) == 0; }

  /// \param Bound at least 1.
  /// \returns a number below it.
  std::size_t below(std::size_t Bound) { return Random_() % Bound; }

  /// \param Text a text, not empty.
  /// \returns the text with one to three changes.
  std::string mutated(std::string Text) {
    for (std::size_t I = 0, Count = 1 + below(3); I != Count; ++I)
      change(Text);
    return Text;
  }

private:
  static constexpr std::array<std::string_view, 24> Pieces = {
      "0",
      "-1",
      "4294967296",
      "9223372036854775807",
      "18446744073709551615",
      "18446744073709551616",
      "1e300",
      "1e999",
      "-1e300",
      "0.5",
      "nan",
      "inf",
      "null",
      "\"\"",
      "[]",
      "{}",
      "[[[[[[[[",
      ":99999999999",
      "\\r\\n",
      "\\u0000",
      "\xff\xfe",
      "\r\n",
      ",",
      "%"};

  void change(std::string &Text) {
    const std::size_t At = below(Text.size() + 1);
    switch (below(6)) {
    case 0:
      if (At < Text.size())
        Text[At] = static_cast<char>(below(256));
      return;
    case 1:
      Text.insert(At, Pieces[below(Pieces.size())]);
      return;
    case 2:
      Text.erase(At, 1 + below(8));
      return;
    case 3:
      Text.insert(At, Text.substr(below(Text.size() + 1), below(40)));
      return;
    case 4:
      Text.resize(At);
      return;
    default:
      replaceValue(Text, At);
    }
  }

  /// Replaces the digits or the string at or after a place.
  void replaceValue(std::string &Text, std::size_t At) {
    const std::size_t First = Text.find_first_of("0123456789", At);
    if (First == std::string::npos)
      return;
    const std::size_t End = Text.find_first_not_of("0123456789", First);
    const std::size_t Count =
        (End == std::string::npos ? Text.size() : End) - First;
    Text.replace(First, Count, Pieces[below(Pieces.size())]);
  }

  std::mt19937 Random_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_MUTATIONS_H
