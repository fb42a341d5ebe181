/// An agent on a loopback port, run by the I/O context of the test.
#pragma once

#include "net/frame_link.h"
#include "wire/codec.h"
#include "wire/messages.h"
#include "wire/stamped.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace daisytack::entry {

inline const net::PeerKeys AgentKeys{{"key", "a secret"}};

class FakeAgent {
public:
  /// Sends the messages when a connection is opened.
  FakeAgent(boost::asio::io_context &io, std::vector<wire::Message> greeting)
      : Greeting(std::move(greeting)),
        Listener(io, {"127.0.0.1", 0}, AgentKeys, hooks()) {
    Error reason;
    EXPECT_TRUE(Listener.start(reason)) << reason.Detail;
  }

  void send(const wire::Message &message) {
    Link->send(wire::prependTimestamp({}, wire::encode(message)));
  }
  Endpoint endpoint() const { return {"127.0.0.1", Listener.port()}; }

  std::vector<wire::Message> Received;

private:
  net::FrameHooks hooks() {
    net::FrameHooks out;
    out.Opened = [this](const std::shared_ptr<net::FrameLink> &link) {
      Link = link;
      for (const wire::Message &message : Greeting)
        send(message);
    };
    out.Frame = [this](const std::shared_ptr<net::FrameLink> &,
                       std::string_view frame) {
      Error reason;
      auto bytes = wire::stripTimestamp({}, frame, reason);
      auto message = wire::decode<wire::Message>(bytes.value(), reason);
      Received.push_back(std::move(message.value()));
    };
    out.Closed = [](const std::shared_ptr<net::FrameLink> &, const Error &) {};
    return out;
  }

  const std::vector<wire::Message> Greeting;
  std::shared_ptr<net::FrameLink> Link;
  net::FrameServer Listener;
};

inline wire::Message helloOf(const std::string &name) {
  return wire::Hello{name, {1, 2}};
}

/// Runs handlers until the condition holds. Waits without a limit.
inline void runUntil(boost::asio::io_context &io,
                     const std::function<bool()> &condition) {
  while (!condition())
    io.run_one();
}

} // namespace daisytack::entry
