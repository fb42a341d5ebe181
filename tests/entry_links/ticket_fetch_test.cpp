#include "tools/entry/ticket_fetch.h"

#include "base/digest.h"
#include "entry_links/fake_agent.h"

#include <gtest/gtest.h>

#include <optional>

namespace daisytack::entry {
namespace {

EntryOptions testOptions() {
  EntryOptions out;
  out.Instance.Control.Self.Name = "entry";
  out.Instance.Control.Keys = AgentKeys;
  out.Instance.Control.Process = {5, 6};
  return out;
}

/// Requests a ticket of two agents that serve the model.
class TicketFetchTest : public testing::Test {
protected:
  TicketFetchTest() {
    auto snapshot = std::make_shared<Snapshot>();
    for (size_t i = 0; i < Agents.size(); ++i) {
      Server server;
      server.Name = Names[i];
      server.Serves = "m";
      server.Work = Agents[i].endpoint();
      server.NameHash = hashName(server.Name);
      snapshot->Servers.push_back(server);
    }
    snapshot->finish();
    State.publish(snapshot);
    std::make_shared<TicketFetch>(
        State, CallerTicketRequest{"o", "m", false},
        [this](TicketResult result) { Result = std::move(result); })
        ->start();
  }
  ~TicketFetchTest() override {
    State.Links.stop();
    runUntil(Io, [this] { return State.Links.size() == 0; });
  }

  /// The agent that was asked, other than the excluded one.
  FakeAgent &awaitRequest(const FakeAgent *excluded = nullptr) {
    FakeAgent *out = nullptr;
    runUntil(Io, [&] {
      for (FakeAgent &agent : Agents)
        if (&agent != excluded && !ticketRequests(agent).empty())
          out = &agent;
      return out != nullptr;
    });
    return *out;
  }
  static std::vector<wire::TicketRequest>
  ticketRequests(const FakeAgent &agent) {
    std::vector<wire::TicketRequest> out;
    for (const wire::Message &message : agent.Received)
      if (const auto *request = std::get_if<wire::TicketRequest>(&message))
        out.push_back(*request);
    return out;
  }
  static wire::TicketReply refusalTo(const FakeAgent &agent) {
    return {ticketRequests(agent).front().Id, ErrorKind::Draining, "", 0};
  }
  static wire::TicketReply ticketFor(const FakeAgent &agent) {
    return {ticketRequests(agent).front().Id, ErrorKind::None, "ticket", 1000};
  }
  /// Sends the reply and runs until the entry has received it.
  void deliver(FakeAgent &agent, const wire::TicketReply &reply) {
    agent.send(reply);
    // Belongs to no request and is counted once the reply before was handled.
    agent.send(wire::Chunk{});
    uint64_t before = State.Counts.UnmatchedMessages.get();
    runUntil(Io, [&] { return State.Counts.UnmatchedMessages.get() > before; });
  }
  void awaitResult() {
    runUntil(Io, [this] { return Result.has_value(); });
  }

  boost::asio::io_context Io;
  const std::array<std::string, 2> Names{"first", "second"};
  std::array<FakeAgent, 2> Agents{FakeAgent{Io, {helloOf(Names[0])}},
                                  FakeAgent{Io, {helloOf(Names[1])}}};
  const EntryOptions Options = testOptions();
  Metrics Registry;
  EntryState State{Io, Options, Registry, [](const Event &) {}, {}, {}};
  std::optional<TicketResult> Result;
};

TEST_F(TicketFetchTest, RequestsTheTicketFromTheNextAgentAfterARefusal) {
  FakeAgent &refusing = awaitRequest();
  deliver(refusing, refusalTo(refusing));
  FakeAgent &next = awaitRequest(&refusing);
  deliver(next, ticketFor(next));
  awaitResult();
  EXPECT_EQ(Result->Reason.Kind, ErrorKind::None);
  EXPECT_EQ(Result->Ticket, "ticket");
}

TEST_F(TicketFetchTest, FailsOnceEveryAgentHasRefused) {
  FakeAgent &refusing = awaitRequest();
  deliver(refusing, refusalTo(refusing));
  FakeAgent &next = awaitRequest(&refusing);
  deliver(next, refusalTo(next));
  awaitResult();
  EXPECT_EQ(Result->Reason.Kind, ErrorKind::NoServer);
}

/// The first agent refuses only after its reply timed out, while the second one
/// has the request.
TEST_F(TicketFetchTest, IgnoresALateRefusalOfAnEarlierAttempt) {
  FakeAgent &late = awaitRequest();
  FakeAgent &next = awaitRequest(&late);
  deliver(late, refusalTo(late));
  deliver(next, ticketFor(next));
  awaitResult();
  EXPECT_EQ(Result->Reason.Kind, ErrorKind::None) << Result->Reason.Detail;
  EXPECT_EQ(Result->Ticket, "ticket");
}

/// A ticket that comes late is as good as any other.
TEST_F(TicketFetchTest, UsesALateTicketOfAnEarlierAttempt) {
  FakeAgent &late = awaitRequest();
  awaitRequest(&late);
  deliver(late, ticketFor(late));
  awaitResult();
  EXPECT_EQ(Result->Ticket, "ticket");
}

} // namespace
} // namespace daisytack::entry
