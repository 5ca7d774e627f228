/// \file
/// Addresses, keys and services of a running cluster.
#ifndef TOOLS_GBLOAD_CLUSTER_H
#define TOOLS_GBLOAD_CLUSTER_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// An organisation and the key that its callers present.
struct CallerKey {
  std::string Organisation_;
  std::string Key_;
};

/// A plain service behind the instances.
struct RoutedService {
  std::string Prefix_; ///< Path prefix at the instances.
  std::string Kind_;   ///< booking, deposit, availability or stock.
  std::vector<std::string> Standins_; ///< ip:port of each stand-in.
};

/// What `bin/demo --serve` prints after `READY`.
struct Cluster {
  std::vector<std::string> Callers_; ///< ip:port of each instance.
  std::vector<CallerKey> Keys_;
  std::vector<std::string> Models_;
  std::vector<RoutedService> Services_;
  std::vector<std::string> Engines_; ///< ip:port of each stand-in engine.
  std::string Table_;                ///< ip:port of the stand-in table.
};

/// \param Text JSON object, as `bin/demo --serve` prints it.
/// \returns the cluster, or nothing if callers, keys or models are missing.
std::optional<Cluster> parseCluster(std::string_view Text);

/// \param Whole a cluster.
/// \returns the addresses of all stand-in services, each once.
std::vector<std::string> serviceStandins(const Cluster &Whole);

} // namespace gooseberry

#endif // TOOLS_GBLOAD_CLUSTER_H
