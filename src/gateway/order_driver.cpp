#include "gateway/order_driver.h"

#include "base/clock.h"
#include "gateway/server_limit.h"
#include "net/http_status.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

using direct::OrderAnswer;

namespace {

/// Longest report of an engine, and answer to an order, in bytes. A report
/// names the versions of a few models.
constexpr size_t MaxReportBytes = 256U << 10;

OrderAnswer orderAnswer(const Error &error, unsigned status) {
  if (error)
    return OrderAnswer::Unknown;
  switch (status) {
  case net::StatusOk:
  case net::StatusAccepted:
    return OrderAnswer::Accepted;
  case net::StatusConflict:
    return OrderAnswer::Conflict;
  case net::StatusPreconditionFailed:
    return OrderAnswer::Fenced;
  case net::StatusMisdirected:
    return OrderAnswer::OtherServer;
  default:
    return OrderAnswer::Impossible;
  }
}

} // namespace

OrderDriver::OrderDriver(GatewayState &state, Strand strand,
                         edge::KvStore store, OrderDriverSettings settings,
                         RandomSource random, BroadcastFn broadcast)
    : State(state), Executor(std::move(strand)), Settings(settings),
      Random(std::move(random)), Broadcast(std::move(broadcast)),
      Holder(std::make_shared<HolderLease>(
          Executor, std::move(store), State.WireProtocol.HolderKey,
          State.WireProtocol.EncodeHolder(
              {State.Options.Name, State.Options.Peers}),
          settings.Holder, State.Log)),
      Plan(settings.Weights) {}

void OrderDriver::onTimer(TimePoint now) {
  if (now - LastTimerAt > Settings.PauseThreshold)
    ResumeAt = now + Settings.WakeDelay;
  LastTimerAt = now;
  auto catalog = State.catalog();
  Holder->onTimer(now);
  if (Holder->isHeld() &&
      direct::isHolderReplaced(*catalog, Holder->heldToken()))
    Holder->abandon(now);
  acquireIfVacant(*catalog, now);
  if (!token(now)) {
    Plan.clear();
    return;
  }
  perform(Plan.next(*catalog, now));
  announceLoading(now);
}

void OrderDriver::announceLoading(TimePoint now) {
  std::vector<direct::ServerStart> busy = Plan.loadingServers();
  bool hasChanged = busy != AnnouncedServers;
  bool isRepetition =
      !busy.empty() && now >= AnnouncedAt + Settings.AnnounceInterval;
  if (!hasChanged && !isRepetition)
    return;
  AnnouncedServers = busy;
  AnnouncedAt = now;
  Broadcast(direct::ServersLoading{std::move(busy)});
}

void OrderDriver::stop() { Holder->stop(); }

std::optional<uint64_t> OrderDriver::token(TimePoint now) const {
  return now < ResumeAt ? std::nullopt : Holder->token(now);
}

void OrderDriver::acquireIfVacant(const direct::Catalog &catalog,
                                  TimePoint now) {
  bool mayAcquire =
      catalog.Config && !Holder->isHeld() && !Holder->isAcquiring() &&
      State.isConfirmed(now) && !State.Drain.load() &&
      direct::isClaimSafe(catalog, Settings.Holder.OrderLease, now);
  std::optional<uint64_t> replacedRevision = direct::claimableRevision(
      catalog, {State.Options.Name, State.Options.Peers});
  if (!mayAcquire || !replacedRevision) {
    AcquireAt.reset();
    return;
  }
  // While the record of an earlier process of this entry exists, no other entry
  // claims the order lease.
  if (*replacedRevision != 0)
    return Holder->acquire(*replacedRevision);
  if (!AcquireAt) {
    auto entries = static_cast<int64_t>(catalog.Entries.size()) + 1;
    int64_t spread = Settings.TakeoverSpread.count() * entries;
    AcquireAt =
        now +
        Duration(static_cast<int64_t>(
            Random() % static_cast<uint64_t>(std::max<int64_t>(spread, 1))));
  }
  if (now < *AcquireAt)
    return;
  AcquireAt.reset();
  Holder->acquire(*replacedRevision);
}

void OrderDriver::perform(const std::vector<direct::WeightAction> &actions) {
  if (actions.empty())
    return;
  for (const direct::WeightAction &action : actions) {
    if (const auto *report = std::get_if<direct::RequestReport>(&action))
      requestReport(*report);
    else if (const auto *order = std::get_if<direct::SendWeightOrder>(&action))
      sendOrder(*order);
    else if (const auto *loaded = std::get_if<direct::NoteLoaded>(&action))
      reportLoaded(*loaded);
    else
      logPostponed(std::get<direct::NotePostponed>(action));
  }
}

void OrderDriver::reportLoaded(const direct::NoteLoaded &action) {
  TimePoint now = monotonicNow();
  State.Log.write(LogPriority::Notable, "server_loaded",
                  {{"server", action.ServerId},
                   {"model", action.LoadedVersion.Model},
                   {"version", action.LoadedVersion.Version}},
                  now);
  Broadcast(direct::ServerLoaded{{action.ServerId, action.StartedMs},
                                 action.LoadedVersion});
  perform(Plan.next(*State.catalog(), now));
}

void OrderDriver::logPostponed(const direct::NotePostponed &action) {
  State.Log.write(LogPriority::Notable, "load_postponed",
                  {{"server", action.ServerId},
                   {"started_ms", action.StartedMs},
                   {"model", action.Desired.Model},
                   {"version", action.Desired.Version},
                   {"reason", direct::postponeReasonName(action.Reason)},
                   {"failures", action.Failures}},
                  monotonicNow());
}

void OrderDriver::requestReport(const direct::RequestReport &action) {
  net::HttpCallOptions options;
  options.MaxBodyBytes = MaxReportBytes;
  State.ControlClient.fetch(
      action.Address, State.WireProtocol.ReportRequest(),
      Settings.Weights.CallTimeout,
      [self = shared_from_this(), id = action.ServerId](
          const Error &error, const net::HttpResponse &answer) {
        std::optional<direct::EngineReport> report;
        if (!error && answer.Status == net::StatusOk)
          report = self->State.WireProtocol.ReadReport(answer.Body);
        if (report)
          self->applyLimit({id, report->StartedMs}, answer);
        boost::asio::dispatch(self->Executor, [self, id, report] {
          TimePoint now = monotonicNow();
          auto actions = self->Plan.onReport(id, report, now);
          if (self->token(now))
            self->perform(actions);
        });
      },
      options);
}

void OrderDriver::sendOrder(const direct::SendWeightOrder &action) {
  TimePoint now = monotonicNow();
  std::optional<uint64_t> token = this->token(now);
  if (!token)
    return;
  State.Log.write(LogPriority::Notable, "order_given",
                  {{"server", action.ServerId},
                   {"model", action.Desired.Model},
                   {"version", action.Desired.Version},
                   {"orders_taken", action.OrdersTaken},
                   {"started_ms", action.StartedMs},
                   {"token", *token}},
                  now);
  net::HttpCallOptions options;
  options.UsesOwnConnection = true;
  options.MaxBodyBytes = MaxReportBytes;
  State.ControlClient.fetch(
      action.Address,
      State.WireProtocol.OrderRequest({action.ServerId, action.Address,
                                       action.Desired, State.Options.Name,
                                       *token, action.OrdersTaken}),
      Settings.Weights.CallTimeout,
      [self = shared_from_this(),
       to = direct::ServerStart{action.ServerId, action.StartedMs}](
          const Error &error, const net::HttpResponse &answer) {
        if (!error)
          self->applyLimit(to, answer);
        boost::asio::dispatch(self->Executor,
                              [self, to, error, status = answer.Status] {
                                self->onOrderAnswer(to, error, status);
                              });
      },
      options);
}

void OrderDriver::applyLimit(direct::ServerRef server,
                             const net::HttpResponse &answer) {
  applyRequestLimit(
      State, server,
      State.WireProtocol.ReadServerHead(answer.Status, answer.Headers),
      ResponseKind::Control, monotonicNow());
}

void OrderDriver::onOrderAnswer(const direct::ServerStart &server,
                                const Error &error, unsigned status) {
  TimePoint now = monotonicNow();
  OrderAnswer answer = orderAnswer(error, status);
  State.Log.write(LogPriority::Notable, "order_answered",
                  {{"server", server.Id},
                   {"started_ms", server.StartedMs},
                   {"status", error ? 0 : status},
                   {"detail", error.Detail}},
                  now);
  perform(Plan.onAnswer(server, answer, now));
  if (answer == OrderAnswer::Fenced)
    Holder->abandon(now);
}

} // namespace daisytack::gateway
