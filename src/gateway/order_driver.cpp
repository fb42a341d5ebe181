#include "gateway/order_driver.h"

#include "base/clock.h"
#include "gateway/server_word.h"
#include "net/http_status.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

using direct::OrderAnswer;

namespace {

OrderAnswer answerOf(const Error &error, unsigned status) {
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
                         RandomSource random, Tell tell)
    : State(state), On(std::move(strand)), Settings(settings),
      Random(std::move(random)), TellEntries(std::move(tell)),
      Holder(std::make_shared<HolderLease>(
          On, std::move(store), State.Speak.HolderKey,
          State.Speak.EncodeHolder({State.Options.Name, State.Options.Peers}),
          settings.Holder, State.Log)),
      Plan(settings.Weights) {}

void OrderDriver::onTimer(TimePoint now) {
  if (now - LastTimer > Settings.PauseNoticed)
    AwakeFrom = now + Settings.WakePause;
  LastTimer = now;
  auto catalog = State.catalog();
  Holder->onTimer(now);
  if (Holder->isHeld() && direct::isReplaced(*catalog, Holder->heldToken()))
    Holder->giveUp(now);
  seekHolder(*catalog, now);
  if (!token(now)) {
    Plan.clear();
    return;
  }
  perform(Plan.next(*catalog, now));
  tellLoading(now);
}

void OrderDriver::tellLoading(TimePoint now) {
  std::vector<direct::ServerStart> busy = Plan.busy();
  bool isDue = busy != Told || now >= ToldAt + Settings.TellInterval;
  if (busy.empty() || !isDue)
    return;
  Told = busy;
  ToldAt = now;
  TellEntries(direct::ServersLoading{std::move(busy)});
}

void OrderDriver::stop() { Holder->stop(); }

std::optional<uint64_t> OrderDriver::token(TimePoint now) const {
  return now < AwakeFrom ? std::nullopt : Holder->token(now);
}

void OrderDriver::seekHolder(const direct::Catalog &catalog, TimePoint now) {
  bool maySeek = catalog.Config && !Holder->isHeld() && !Holder->isTrying() &&
                 State.isConfirmed(now) && !State.Drain.load() &&
                 direct::isClaimSafe(catalog, Settings.Holder.Right, now);
  std::optional<uint64_t> over =
      direct::claimOver(catalog, {State.Options.Name, State.Options.Peers});
  if (!maySeek || !over) {
    SeekAt.reset();
    return;
  }
  // Left by the process before this one: nobody else seeks it.
  if (*over != 0)
    return Holder->acquire(*over);
  if (!SeekAt) {
    auto entries = static_cast<int64_t>(catalog.Entries.size()) + 1;
    int64_t spread = Settings.TakeoverSpread.count() * entries;
    SeekAt =
        now +
        Duration(static_cast<int64_t>(
            Random() % static_cast<uint64_t>(std::max<int64_t>(spread, 1))));
  }
  if (now < *SeekAt)
    return;
  SeekAt.reset();
  Holder->acquire(*over);
}

void OrderDriver::perform(const std::vector<direct::WeightAction> &actions) {
  if (actions.empty())
    return;
  for (const direct::WeightAction &action : actions) {
    if (const auto *report = std::get_if<direct::AskReport>(&action))
      ask(*report);
    else if (const auto *order = std::get_if<direct::GiveOrder>(&action))
      give(*order);
    else
      noteLoaded(std::get<direct::NoteLoaded>(action));
  }
}

void OrderDriver::noteLoaded(const direct::NoteLoaded &action) {
  TimePoint now = monotonicNow();
  State.Log.write(LogWeight::Notable, "server_loaded",
                  {{"server", action.ServerId},
                   {"model", action.Has.Model},
                   {"version", action.Has.Version}},
                  now);
  TellEntries(
      direct::ServerLoaded{{action.ServerId, action.StartedMs}, action.Has});
  perform(Plan.next(*State.catalog(), now));
}

void OrderDriver::ask(const direct::AskReport &action) {
  State.Control.fetch(action.Address, State.Speak.ReportRequest(),
                      Settings.Weights.CallPatience,
                      [self = shared_from_this(), id = action.ServerId](
                          const Error &error, const net::HttpResponse &answer) {
                        std::optional<direct::EngineReport> report;
                        if (!error && answer.Status == net::StatusOk)
                          report = self->State.Speak.ReadReport(answer.Body);
                        if (report)
                          self->noteWord({id, report->StartedMs}, answer);
                        boost::asio::dispatch(self->On, [self, id, report] {
                          TimePoint now = monotonicNow();
                          auto actions = self->Plan.onReport(id, report, now);
                          if (self->token(now))
                            self->perform(actions);
                        });
                      });
}

void OrderDriver::give(const direct::GiveOrder &action) {
  TimePoint now = monotonicNow();
  std::optional<uint64_t> token = this->token(now);
  if (!token)
    return;
  State.Log.write(LogWeight::Notable, "order_given",
                  {{"server", action.ServerId},
                   {"model", action.Wanted.Model},
                   {"version", action.Wanted.Version},
                   {"orders_taken", action.OrdersTaken},
                   {"started_ms", action.StartedMs},
                   {"token", *token}},
                  now);
  State.Control.fetch(
      action.Address,
      State.Speak.OrderRequest({action.ServerId, action.Address, action.Wanted,
                                State.Options.Name, *token,
                                action.OrdersTaken}),
      Settings.Weights.CallPatience,
      [self = shared_from_this(),
       to = direct::ServerStart{action.ServerId, action.StartedMs}](
          const Error &error, const net::HttpResponse &answer) {
        if (!error)
          self->noteWord(to, answer);
        boost::asio::dispatch(self->On,
                              [self, to, error, status = answer.Status] {
                                self->onOrderAnswer(to, error, status);
                              });
      });
}

void OrderDriver::noteWord(direct::ServerRef server,
                           const net::HttpResponse &answer) {
  noteRequestLimit(State, server,
                   State.Speak.ReadServerHead(answer.Status, answer.Headers),
                   AnswerTo::Control, monotonicNow());
}

void OrderDriver::onOrderAnswer(const direct::ServerStart &server,
                                const Error &error, unsigned status) {
  TimePoint now = monotonicNow();
  OrderAnswer answer = answerOf(error, status);
  State.Log.write(LogWeight::Notable, "order_answered",
                  {{"server", server.Id},
                   {"started_ms", server.StartedMs},
                   {"status", error ? 0 : status},
                   {"detail", error.Detail}},
                  now);
  Plan.onAnswer(server, answer, now);
  if (answer == OrderAnswer::Fenced)
    Holder->giveUp(now);
}

} // namespace daisytack::gateway
