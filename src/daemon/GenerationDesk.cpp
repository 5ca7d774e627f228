#include "gooseberrybeam/daemon/GenerationDesk.h"

#include "gooseberrybeam/base/Result.h"

#include <utility>

namespace gooseberry {

GenerationDesk::GenerationDesk(DispatchOptions Options)
    : Dispatcher_(std::move(Options)) {}

void GenerationDesk::submit(GenerationSpec Item, Mailbox Box) {
  Boxes_.emplace(Item.Request_, std::move(Box));
  Dispatcher_.submit(std::move(Item), readBootClock(), Actions_);
  carryOut();
}

void GenerationDesk::report(const GenerationProgress &Step) {
  Dispatcher_.onProgress(Step, readBootClock(), Actions_);
  carryOut();
}

void GenerationDesk::end(const RequestId &Request) { Boxes_.erase(Request); }

void GenerationDesk::onMessage(const InstanceId &From,
                               const PlacementMessage &Message) {
  Dispatcher_.onMessage(From, Message, readBootClock(), Actions_);
  carryOut();
}

void GenerationDesk::onMembers(std::span<const InstanceId> Members) {
  Dispatcher_.onMembers(Members, readBootClock(), Actions_);
  carryOut();
}

void GenerationDesk::onLoad(const BackendId &Engine, const LoadReport &Report) {
  Dispatcher_.onLoad(Engine, Report, readBootClock(), Actions_);
  carryOut();
}

void GenerationDesk::tick() {
  Dispatcher_.tick(readBootClock(), Actions_);
  carryOut();
}

void GenerationDesk::carryOut() {
  auto Actions = std::exchange(Actions_, {});
  for (auto &Action : Actions) {
    if (const auto *Message = std::get_if<SendPlacement>(&Action)) {
      if (Send_)
        Send_(Message->Recipient_, Message->Message_);
      continue;
    }
    const RequestId *Request = std::visit(
        Overloaded{
            [](const SendPlacement &) -> const RequestId * { return nullptr; },
            [](const auto &Other) { return &Other.Request_; }},
        Action);
    const auto Found = Boxes_.find(*Request);
    if (Found != Boxes_.end())
      Found->second->post(std::move(Action));
  }
}

} // namespace gooseberry
