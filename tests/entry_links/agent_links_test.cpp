#include "tools/entry/agent_links.h"

#include "entry_links/fake_agent.h"

#include <gtest/gtest.h>

#include <optional>

namespace daisytack::entry {
namespace {

const AttemptKey FirstAttempt{{3, 4}, 1};

wire::Message acceptedFirst() {
  wire::Accepted out;
  out.Id = FirstAttempt.Id;
  out.AttemptNumber = FirstAttempt.AttemptNumber;
  return out;
}

/// Opens an attempt at instance "agent", where an agent sends the greeting.
class AgentLinksTest : public testing::Test {
protected:
  ~AgentLinksTest() override {
    Links->stop();
    runUntil(Io, [this] { return Links->size() == 0; });
  }
  void open(std::vector<wire::Message> greeting) {
    Agent.emplace(Io, std::move(greeting));
    AgentHooks hooks;
    hooks.Message = [this](const std::string &, const wire::Message &) {
      ++Messages;
    };
    hooks.AttemptLost = [this](const AttemptKey &, bool mayBeDelivered) {
      LostAfterDelivery = mayBeDelivered;
    };
    hooks.MessageRejected = [this](ErrorKind kind) { Rejected = kind; };
    AgentLinksInit init;
    init.Name = "entry";
    init.Process = {5, 6};
    init.Keys = AgentKeys;
    Links.emplace(Io, init, hooks);
    Server server;
    server.Name = "agent";
    server.Work = Agent->endpoint();
    Links->open(server, FirstAttempt, wire::TicketRequest{{3, 4}, "o", "m"});
  }
  bool isOver() const { return Messages > 0 || LostAfterDelivery.has_value(); }

  boost::asio::io_context Io;
  std::optional<FakeAgent> Agent;
  std::optional<AgentLinks> Links;
  int Messages = 0;
  std::optional<bool> LostAfterDelivery;
  ErrorKind Rejected = ErrorKind::None;
};

TEST_F(AgentLinksTest, PassesMessagesOnAfterTheHello) {
  open({helloOf("agent"), acceptedFirst()});
  runUntil(Io, [this] { return isOver(); });
  EXPECT_EQ(Messages, 1);
  EXPECT_FALSE(LostAfterDelivery.has_value());
}

/// Until its Hello the peer may be another instance that reuses the address.
TEST_F(AgentLinksTest, ClosesALinkWithAMessageBeforeTheHello) {
  open({acceptedFirst(), helloOf("agent")});
  runUntil(Io, [this] { return isOver(); });
  EXPECT_EQ(Messages, 0);
  EXPECT_EQ(LostAfterDelivery, std::optional(false));
  EXPECT_EQ(Rejected, ErrorKind::ProtocolError);
}

TEST_F(AgentLinksTest, PassesNoMessagesOfAnotherInstanceOn) {
  open({helloOf("other"), acceptedFirst()});
  runUntil(Io, [this] { return isOver(); });
  EXPECT_EQ(Messages, 0);
  EXPECT_EQ(LostAfterDelivery, std::optional(false));
}

} // namespace
} // namespace daisytack::entry
