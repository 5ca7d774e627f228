/// \file
/// Strongly typed identifiers.
#ifndef GOOSEBERRYBEAM_BASE_IDS_H
#define GOOSEBERRYBEAM_BASE_IDS_H

#include <compare>
#include <cstddef>
#include <functional>
#include <string>

namespace gooseberry {

/// A name that cannot be confused with a name of another kind.
/// \tparam Tag the kind of thing named.
template <typename Tag> struct NamedId {
  std::string Value_;

  friend std::strong_ordering operator<=>(const NamedId &A, const NamedId &B) {
    return A.Value_.compare(B.Value_) <=> 0;
  }
  friend bool operator==(const NamedId &, const NamedId &) = default;

  /// \returns whether no name is set.
  bool isEmpty() const { return Value_.empty(); }
};

/// An organisation whose callers present keys.
using OrganisationId = NamedId<struct OrganisationTag>;
/// A class of work with a latency target.
using ClassId = NamedId<struct ClassTag>;
/// A model served by engines.
using ModelId = NamedId<struct ModelTag>;
/// A backend server, engine or plain service, named `ip:port`.
using BackendId = NamedId<struct BackendTag>;
/// A plain service or a pool of engines that serves the same requests.
using ServiceId = NamedId<struct ServiceTag>;
/// The registration of one backend server, kept from its start to its end.
using ServerId = NamedId<struct ServerTag>;
/// An entry instance by its configured name.
using InstanceId = NamedId<struct InstanceTag>;
/// A data centre.
using DataCentreId = NamedId<struct DataCentreTag>;
/// A region, which holds one or more data centres.
using RegionId = NamedId<struct RegionTag>;
/// A request, unique across instances.
using RequestId = NamedId<struct RequestTag>;
/// A version of the software of backend servers. Versions have no order.
using SoftwareVersionId = NamedId<struct SoftwareVersionTag>;
/// A segment of a prompt that other prompts may contain too.
using PromptSegmentId = NamedId<struct PromptSegmentTag>;

} // namespace gooseberry

template <typename Tag> struct std::hash<gooseberry::NamedId<Tag>> {
  std::size_t operator()(const gooseberry::NamedId<Tag> &Id) const noexcept {
    return std::hash<std::string>()(Id.Value_);
  }
};

#endif // GOOSEBERRYBEAM_BASE_IDS_H
