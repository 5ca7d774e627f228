#include "gooseberrybeam/operator/ConfigRunner.h"

#include "gooseberrybeam/base/Time.h"

#include <utility>
#include <variant>

namespace gooseberry {
namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(50);
/// Half of what the transport between instances carries.
constexpr std::size_t MaxMessageBytes = std::size_t{2} << 20U;

} // namespace

ConfigRunner::ConfigRunner(boost::asio::io_context &Context, TableClient &Table,
                           Cell &Published, InstanceId Self, std::uint32_t Seed)
    : Timer_(Context), Table_(Table), Published_(Published),
      Node_(std::move(Self), Seed) {}

void ConfigRunner::start() {
  carryOut(Node_.onTick(readBootClock()));
  scheduleTick();
}

void ConfigRunner::command(ChangeCommand Command, OutcomeHandler Handler) {
  ConfigOperationId Ticket = FollowerOperationId;
  ConfigActions Actions =
      Node_.onCommand(std::move(Command), readBootClock(), Ticket);
  Handlers_[Ticket] = std::move(Handler);
  carryOut(std::move(Actions));
}

void ConfigRunner::receive(const InstanceId &From, std::string_view Bytes) {
  const std::optional<ConfigMessage> Message = parseConfigMessage(Bytes);
  if (Message)
    carryOut(Node_.onPeerMessage(From, *Message, readBootClock()));
}

void ConfigRunner::notePeerRevision(const InstanceId &From, Revision Number) {
  carryOut(Node_.onPeerRevision(From, Number, readBootClock()));
}

void ConfigRunner::scheduleTick() {
  Timer_.expires_after(TickPeriod);
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    carryOut(Node_.onTick(readBootClock()));
    scheduleTick();
  });
}

void ConfigRunner::carryOut(ConfigActions Actions) {
  for (ConfigAction &Action : Actions)
    std::visit([this](auto &Wanted) { perform(Wanted); }, Action);
}

void ConfigRunner::perform(ReadTable &Read) {
  Table_.read(std::move(Read.Query_),
              [this, Ticket = Read.OperationId_](const ReadOutcome &Outcome) {
                carryOut(Node_.onTableRead(Ticket, Outcome, readBootClock()));
              });
}

void ConfigRunner::perform(TransactTable &Transact) {
  Table_.transact(
      std::move(Transact.Transaction_),
      [this, Ticket = Transact.OperationId_](const TransactOutcome &Outcome) {
        carryOut(Node_.onTransact(Ticket, Outcome, readBootClock()));
      });
}

void ConfigRunner::perform(SendConfigMessage &Send) {
  if (!Send_)
    return;
  auto Bytes = encodeConfigMessageBounded(std::move(Send.Message_),
                                          MaxMessageBytes, Node_.revision());
  if (Bytes)
    Send_(Send.Recipient_, std::move(*Bytes));
}

void ConfigRunner::perform(PublishConfiguration &Publish) {
  Published_.publish(std::move(Publish.Configuration_));
}

void ConfigRunner::perform(AnswerCommand &Answer) {
  const auto Found = Handlers_.extract(Answer.OperationId_);
  if (!Found.empty())
    Found.mapped()(Answer.Outcome_);
}

} // namespace gooseberry
