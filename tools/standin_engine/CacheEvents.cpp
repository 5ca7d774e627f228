#include "standin_engine/CacheEvents.h"

#include <boost/json/array.hpp>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace gooseberry {
namespace {

constexpr std::size_t MostEvents = 8192;
constexpr std::size_t MostInReply = 1000;
constexpr std::size_t HexDigits = 16;

std::string asHex(std::uint64_t Value) {
  std::array<char, HexDigits + 1> Text{};
  std::snprintf(Text.data(), Text.size(), "%016" PRIx64, Value);
  return Text.data();
}

} // namespace

void CacheEvents::add(std::string_view Kind, std::uint64_t Prefix,
                      std::uint64_t Tokens) {
  const auto Seq = NextSeq_++;
  std::uniform_real_distribution<double> Percent(0, 100);
  if (Percent(Random_) < LossPercent_)
    return;
  const auto VisibleAt = std::chrono::steady_clock::now() + Delay_;
  Events_.push_back({Seq, Kind, Prefix, Tokens, VisibleAt});
  if (Events_.size() > MostEvents)
    Events_.pop_front();
}

boost::json::object CacheEvents::since(std::uint64_t After) const {
  boost::json::array Out;
  std::uint64_t Last = After;
  const auto Now = std::chrono::steady_clock::now();
  for (const auto &Entry : Events_) {
    if (Entry.VisibleAt_ > Now || Out.size() == MostInReply)
      break;
    if (Entry.Seq_ <= After)
      continue;
    Last = Entry.Seq_;
    Out.push_back(boost::json::object{{"seq", Entry.Seq_},
                                      {"kind", Entry.Kind_},
                                      {"prefix", asHex(Entry.Prefix_)},
                                      {"tokens", Entry.Tokens_}});
  }
  const auto First = Events_.empty() ? NextSeq_ : Events_.front().Seq_;
  return {{"events", std::move(Out)}, {"first", First}, {"last", Last}};
}

} // namespace gooseberry
