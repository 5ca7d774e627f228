#include "gooseberrybeam/peers/PeerMessage.h"

#include "gooseberrybeam/base/Result.h"
#include "peers/LimitCodec.h"

#include <peer.pb.h>

namespace gooseberry {

namespace {

template <typename Message>
void writeBeat(const Message &From, wire::Heartbeat &To) {
  To.set_number(From.Number_);
  To.set_epoch(From.Epoch_);
  To.set_revision(From.Revision_);
}

template <typename Message> Message readBeat(const wire::Heartbeat &From) {
  return {From.number(), From.epoch(), From.revision()};
}

void writeMembership(const MembershipMessage &Message, wire::Membership &Wire) {
  std::visit(Overloaded{[&](const Heartbeat &Each) {
                          writeBeat(Each, *Wire.mutable_heartbeat());
                        },
                        [&](const HeartbeatAck &Each) {
                          writeBeat(Each, *Wire.mutable_heartbeat_ack());
                        },
                        [&](const SuspectNotice &Each) {
                          wire::Member &To =
                              *Wire.mutable_suspect()->mutable_suspect();
                          To.set_name(Each.Suspect_.Name_.Value_);
                          To.set_incarnation(Each.Suspect_.Incarnation_);
                        },
                        [&](const EpochQuery &) { Wire.mutable_epoch_query(); },
                        [&](const EpochConfirm &Each) {
                          Wire.mutable_epoch_confirm()->set_epoch(Each.Epoch_);
                        },
                        [&](const Goodbye &) { Wire.mutable_goodbye(); },
                        [&](const DocumentRequest &) {
                          Wire.mutable_document_request();
                        },
                        [&](const DocumentReply &Each) {
                          Wire.mutable_document_reply()->set_document(
                              formatEpochDocument(Each.Document_));
                        }},
             Message);
}

std::optional<MembershipMessage> readMembership(const wire::Membership &Wire) {
  switch (Wire.body_case()) {
  case wire::Membership::kHeartbeat:
    return readBeat<Heartbeat>(Wire.heartbeat());
  case wire::Membership::kHeartbeatAck:
    return readBeat<HeartbeatAck>(Wire.heartbeat_ack());
  case wire::Membership::kSuspect: {
    const wire::Member &Id = Wire.suspect().suspect();
    return SuspectNotice{{InstanceId{Id.name()}, Id.incarnation()}};
  }
  case wire::Membership::kEpochQuery:
    return EpochQuery{};
  case wire::Membership::kEpochConfirm:
    return EpochConfirm{Wire.epoch_confirm().epoch()};
  case wire::Membership::kGoodbye:
    return Goodbye{};
  case wire::Membership::kDocumentRequest:
    return DocumentRequest{};
  case wire::Membership::kDocumentReply: {
    auto Document = parseEpochDocument(Wire.document_reply().document());
    if (!Document)
      return std::nullopt;
    return DocumentReply{*std::move(Document)};
  }
  default:
    return std::nullopt;
  }
}

template <typename Strings>
std::vector<RequestId> readRequests(const Strings &From) {
  std::vector<RequestId> Requests;
  Requests.reserve(From.size());
  for (const std::string &Each : From)
    Requests.push_back({Each});
  return Requests;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &Message) {
  wire::Envelope Wire;
  std::visit(
      Overloaded{
          [&](const MembershipMessage &Each) {
            writeMembership(Each, *Wire.mutable_membership());
          },
          [&](const LimitMessage &Each) {
            writeLimits(Each, *Wire.mutable_limits());
          },
          [&](const ConfigBytes &Each) { Wire.set_config(Each.Bytes_); },
          [&](const PlacementBytes &Each) { Wire.set_placement(Each.Bytes_); },
          [&](const HoldingQuestion &Each) {
            Wire.mutable_holding_question();
            for (const RequestId &Id : Each.Requests_)
              Wire.mutable_holding_question()->add_requests(Id.Value_);
          },
          [&](const HoldingAnswer &Each) {
            Wire.mutable_holding_answer();
            for (const RequestId &Id : Each.Gone_)
              Wire.mutable_holding_answer()->add_gone(Id.Value_);
          },
          [&](const LeavingNotice &Each) {
            Wire.mutable_leaving()->set_backend_server(Each.Server_.Value_);
          }},
      Message);
  return Wire.SerializeAsString();
}

std::optional<PeerMessage> parsePeerMessage(std::string_view Bytes) {
  wire::Envelope Wire;
  if (!Wire.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return std::nullopt;
  switch (Wire.body_case()) {
  case wire::Envelope::kMembership: {
    auto Message = readMembership(Wire.membership());
    if (!Message)
      return std::nullopt;
    return PeerMessage(*std::move(Message));
  }
  case wire::Envelope::kLimits:
    return readLimits(Wire.limits());
  case wire::Envelope::kConfig:
    return ConfigBytes{Wire.config()};
  case wire::Envelope::kHoldingQuestion:
    return HoldingQuestion{readRequests(Wire.holding_question().requests())};
  case wire::Envelope::kHoldingAnswer:
    return HoldingAnswer{readRequests(Wire.holding_answer().gone())};
  case wire::Envelope::kLeaving:
    return LeavingNotice{BackendId{Wire.leaving().backend_server()}};
  case wire::Envelope::kPlacement:
    return PlacementBytes{Wire.placement()};
  default:
    return std::nullopt;
  }
}

} // namespace gooseberry
