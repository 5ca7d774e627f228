#include "gooseberrybeam/daemon/CallerIdentity.h"

#include "gooseberrybeam/http/CallerKey.h"

namespace gooseberry {
namespace {

constexpr std::string_view ClassField = "X-Request-Class";

CallerError makeError(RefusalReason Reason, std::string_view Message = {}) {
  return {{Reason, Execution::NotRun, std::nullopt}, std::string(Message), ""};
}

} // namespace

Result<CallerIdentity, CallerError>
authenticate(ConfigurationPtr Configuration, bool IsOpen, RequestHead &Head) {
  const std::string Key(bearerKeyOf(Head));
  if (hasKey(asStd(Head.target()), Key))
    return makeError(RefusalReason::MalformedRequest,
                     "The key must be sent in Authorization only.");
  removeKey(Head, Key);
  CallerIdentity Identity;
  Identity.Configuration_ = std::move(Configuration);
  if (Key.empty()) {
    if (!IsOpen)
      return makeError(RefusalReason::MissingKey);
    return Identity;
  }
  const KeyHash Hash = hashKey(Key);
  const Organisation *Found =
      Identity.Configuration_->findOrganisationOfKey(Hash);
  if (!Found && !IsOpen)
    return makeError(RefusalReason::UnknownKey);
  if (!Found)
    return Identity;
  Identity.Organisation_ = Found->Name_;
  Identity.Key_ = Hash;
  return Identity;
}

std::optional<RefusalReason> findBar(const DaemonState &State,
                                     const CallerIdentity &Identity,
                                     TimePoint Now) {
  if (!State.isLeaseValid(Now))
    return RefusalReason::LeaseExpired;
  if (!Identity.Key_)
    return std::nullopt;
  const auto Newest = State.Configuration_.read();
  const Organisation *Found = Newest->findOrganisationOfKey(*Identity.Key_);
  if (!Found || Found->Name_ != Identity.Organisation_)
    return RefusalReason::UnknownKey;
  return std::nullopt;
}

Result<WorkClass, CallerError> chooseClass(const CallerIdentity &Identity,
                                           const ClassId &Default,
                                           const RequestHead &Head) {
  const auto &Configuration = *Identity.Configuration_;
  const Organisation *Of =
      Configuration.findOrganisation(Identity.Organisation_.Value_);
  const std::string_view Named = asStd(Head[asBeast(ClassField)]);
  if (!Named.empty() && !(Of && Of->MayOverrideClass_))
    return makeError(RefusalReason::ForbiddenRoute,
                     "The organisation may not choose a class.");
  const ClassId Chosen = Named.empty() ? Default : ClassId{std::string(Named)};
  const WorkClass *Found = Configuration.findClass(Chosen.Value_);
  if (!Found)
    return makeError(RefusalReason::MalformedRequest,
                     "There is no such class.");
  if (Of && !Of->isAllowed(Chosen))
    return makeError(RefusalReason::ForbiddenRoute);
  return *Found;
}

} // namespace gooseberry
