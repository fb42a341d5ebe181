#include "agent_driver.h"

#include "base/clock.h"
#include "base/digest.h"
#include "wire/codec.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace daisytack::agent {

namespace {

/// Maximum inputs applied before the I/O thread is yielded to other work.
constexpr int MaxInputsPerStep = 256;
constexpr std::chrono::milliseconds FlushCheckInterval{5};

net::HttpClientInit clientInit(const AgentOptions &options) {
  net::HttpClientInit out;
  out.MaxIdlePerEndpoint = options.Core.Queue.Slots + 8;
  return out;
}

std::vector<Endpoint> storeAddresses(const AgentOptions &options) {
  std::vector<Endpoint> out;
  for (const StoreInstance &it : options.Core.Stores.Instances)
    out.push_back(it.Address);
  return out;
}

/// Makes a load slot's call to the key-value service.
struct SlotCaller {
  const edge::KvStore &KeyValue;
  Duration Timeout;
  std::function<void(decltype(swap::SlotResult::Response))> Done;

  void operator()(const edge::KvRange &call) const {
    KeyValue.Range(call, Timeout, Done);
  }
  void operator()(const edge::KvTransaction &call) const {
    KeyValue.Commit(call, Timeout, Done);
  }
  void operator()(const swap::GrantLease &call) const {
    KeyValue.GrantLease(call.TimeToLive, Timeout, Done);
  }
  void operator()(const swap::KeepLease &call) const {
    KeyValue.KeepLease(call.Lease, Timeout, Done);
  }
  void operator()(const swap::RevokeLease &call) const {
    KeyValue.RevokeLease(call.Lease, Timeout, Done);
  }
};

} // namespace

AgentDriver::AgentDriver(boost::asio::io_context &io, AgentOptions options,
                         edge::KvStore keyValue, EventSink events,
                         wire::HybridClockHooks clockHooks)
    : Io(io), Strand(boost::asio::make_strand(io)), Options(std::move(options)),
      KeyValue(std::move(keyValue)), Events(std::move(events)),
      ClockHooks(std::move(clockHooks)), Client(io, clientInit(Options)),
      Server(io, Options.Instance.Control.Self.Work,
             Options.Instance.Control.Keys, linkHooks()),
      Timer(Strand), FlushTimer(Strand), Core(Options.Core, secureRandom),
      Reader(Core.snapshot()) {
  auto sink = [this](serve::AgentInput input) { push(std::move(input)); };
  if (Options.Core.IsService)
    Service = edge::makeHttpService(Client, Options.Server, sink);
  else
    Engine =
        edge::makeHttpEngine(Client, {Options.Server, Options.Weights}, sink);
  Stores = edge::makeHttpStores(Client, storeAddresses(Options), sink);
}

AgentDriver::~AgentDriver() = default;

bool AgentDriver::start(Error &reason) {
  if (!Server.start(reason))
    return false;
  push(serve::TimerFired{wallNow()});
  return true;
}

void AgentDriver::drain(std::function<void()> done) {
  boost::asio::post(Strand, [this, done = std::move(done)]() mutable {
    OnDrained = std::move(done);
    push(serve::DrainRequested{});
  });
}

net::FrameHooks AgentDriver::linkHooks() {
  net::FrameHooks out;
  out.Opened = [this](const std::shared_ptr<net::FrameLink> &link) {
    push(serve::LinkOpened{Links.add(link)});
  };
  out.Frame = [this](const std::shared_ptr<net::FrameLink> &link,
                     std::string_view frame) { onFrame(link, frame); };
  out.Closed = [this](const std::shared_ptr<net::FrameLink> &link,
                      const Error &) {
    if (auto handle = Links.remove(link.get()))
      push(serve::LinkClosed{*handle});
  };
  return out;
}

void AgentDriver::onFrame(const std::shared_ptr<net::FrameLink> &link,
                          std::string_view frame) {
  auto handle = Links.find(link.get());
  if (!handle)
    return;
  Error reason;
  auto bytes = wire::stripTimestamp(ClockHooks, frame, reason);
  auto message =
      bytes ? wire::decode<wire::Message>(*bytes, reason) : std::nullopt;
  if (!message) {
    Event event;
    event.Kind = EventKind::PeerRejected;
    event.Reason = reason.Kind;
    Events(std::move(event));
    return link->close();
  }
  push(serve::LinkMessage{*handle, std::move(*message)});
}

void AgentDriver::push(serve::AgentInput input) {
  Inputs.push(std::move(input));
  if (!IsScheduled.exchange(true))
    boost::asio::post(Strand, [this] { step(); });
}

void AgentDriver::step() {
  IsScheduled.store(false);
  serve::AgentInput input;
  int n = 0;
  for (; n < MaxInputsPerStep && Inputs.try_pop(input); ++n) {
    Core.apply(std::move(input), monotonicNow(), Actions);
    for (serve::AgentAction &action : Actions)
      perform(action);
    Actions.clear();
  }
  if (n == MaxInputsPerStep && !IsScheduled.exchange(true))
    boost::asio::post(Strand, [this] { step(); });
  Ready.store(Core.isReady(), std::memory_order_relaxed);
  setTimer();
  publishSnapshot();
  checkDrained();
}

void AgentDriver::publishSnapshot() {
  if (Reader.get() == LastPublished || !OnPublished)
    return;
  LastPublished = Reader.get();
  OnPublished(*LastPublished);
}

void AgentDriver::setTimer() {
  std::optional<TimePoint> next = Core.nextTimer();
  if (next == TimerAt)
    return;
  TimerAt = next;
  if (!next) {
    Timer.cancel();
    return;
  }
  Timer.expires_after(std::max(Duration(0), *next - monotonicNow()));
  Timer.async_wait([this](boost::system::error_code ec) {
    if (ec)
      return;
    TimerAt.reset();
    push(serve::TimerFired{wallNow()});
  });
}

/// Waits for the send buffers too: they may still hold the last answers.
void AgentDriver::checkDrained() {
  if (!OnDrained || !Core.isDrained())
    return;
  if (Links.pendingBytes() == 0) {
    std::exchange(OnDrained, nullptr)();
    return;
  }
  FlushTimer.expires_after(FlushCheckInterval);
  FlushTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      checkDrained();
  });
}

void AgentDriver::perform(serve::AgentAction &action) {
  std::visit([this](auto &it) { perform(it); }, action);
}

void AgentDriver::perform(const serve::SendMessage &action) {
  if (auto link = Links.find(action.Link))
    link->send(wire::prependTimestamp(ClockHooks, wire::encode(action.Body)));
}
void AgentDriver::perform(const serve::StartRun &action) {
  if (Options.Core.IsService)
    Service.Start(action);
  else
    Engine.Start(action);
}
void AgentDriver::perform(const serve::CancelRun &action) {
  if (Options.Core.IsService)
    Service.Cancel(action.Run);
  else
    Engine.Cancel(action.Run);
}
void AgentDriver::perform(const serve::SuspendRun &action) {
  Engine.Suspend(action.Run);
}
void AgentDriver::perform(const serve::ResumeRun &action) {
  Engine.Resume(action.Run);
}
void AgentDriver::perform(const serve::PollStatus & /*action*/) {
  Engine.PollStatus();
}
void AgentDriver::perform(const serve::PollCacheEvents &action) {
  Engine.PollCacheEvents(action);
}
void AgentDriver::perform(const serve::ExportPiece &action) {
  Engine.Export(action);
}
void AgentDriver::perform(const serve::ImportPiece &action) {
  Engine.Import(action);
}
void AgentDriver::perform(const serve::SendOrder &action) {
  Engine.Order(action);
}
void AgentDriver::perform(const serve::CallSlot &action) {
  auto answer = [this, number = action.Call.Number](
                    decltype(swap::SlotResult::Response) result) {
    push(serve::SlotAnswer{{number, std::move(result)}});
  };
  Duration timeout = Options.Core.Swap.Slot.CallTimeout;
  std::visit(SlotCaller{KeyValue, timeout, answer}, action.Call.Operation);
}
void AgentDriver::perform(const serve::CallStore &action) {
  Stores.Call(action);
}
void AgentDriver::perform(const serve::CancelStoreCall &action) {
  Stores.Stop(action);
}
void AgentDriver::perform(serve::RecordEvent &action) {
  Events(std::move(action.What));
}

} // namespace daisytack::agent
