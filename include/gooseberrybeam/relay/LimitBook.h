/// \file
/// The token buckets that one home keeps for the instances that ask it.
#ifndef GOOSEBERRYBEAM_RELAY_LIMITBOOK_H
#define GOOSEBERRYBEAM_RELAY_LIMITBOOK_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace gooseberry {

/// Each instance brings an equal part of every organisation's limit to the home
/// that it asks, and asks one home at a time. So the parts add up to the whole,
/// whatever instances are cut off, without an agreement on who is home.
class LimitBook {
public:
  /// Takes a configuration into use. Buckets keep their fill.
  /// \param Configuration the configuration.
  /// \param Now the clock.
  void configure(std::shared_ptr<const RelayConfiguration> Configuration,
                 TimePoint Now);
  /// Sets which part of the limits this home has.
  /// \param Part instances that ask this home, of all, in [0, 1].
  /// \param Now the clock.
  void setPart(double Part, TimePoint Now);

  /// Takes tokens if the organisation's bucket covers them.
  /// \param Organisation whose tokens.
  /// \param Tokens how many.
  /// \param Now the clock.
  /// \returns nothing if they were taken, else how long until they could be.
  std::optional<Duration> tryTake(const OrganisationId &Organisation,
                                  double Tokens, TimePoint Now);
  /// Counts tokens that were used already.
  /// \param Organisation whose tokens.
  /// \param Tokens how many.
  /// \param Now the clock.
  void note(const OrganisationId &Organisation, double Tokens, TimePoint Now);
  /// \param Organisation an organisation.
  /// \param Now the clock.
  /// \returns whether its bucket is empty.
  bool isExhausted(const OrganisationId &Organisation, TimePoint Now);

private:
  struct Bucket {
    double Level_ = 0;
    TimePoint FilledAt_;
  };

  Bucket *bucketOf(const OrganisationId &Organisation, TimePoint Now);
  const TokenLimit *limitOf(const OrganisationId &Organisation) const;

  std::shared_ptr<const RelayConfiguration> Configuration_;
  std::unordered_map<OrganisationId, Bucket> Buckets_;
  double Part_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_LIMITBOOK_H
