/// Loopback ports that nothing else takes before a test listens on them.
///
/// A port that the kernel named a moment ago is free for any outgoing
/// connection of any process until somebody listens on it; with eight test
/// processes at once a listener found its port taken. These come from below the
/// range of which the kernel gives ports away by itself, in blocks that a file
/// lock reserves until the process ends.
#pragma once

#include "net/http_socket.h"

#include <boost/asio/ip/tcp.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace daisytack::test {

/// A range of ports that belongs to its holder alone. The scripts' fleets lock
/// their blocks in the same directory, from port 23000 on.
class PortBlock {
public:
  static constexpr uint16_t First = 16000;
  static constexpr uint16_t Size = 50;
  static constexpr uint16_t Blocks = 140;

  /// The first block that nobody holds and on which nobody listens.
  static std::unique_ptr<PortBlock> take() {
    for (uint16_t i = 0; i < Blocks; ++i) {
      auto base = static_cast<uint16_t>(First + i * Size);
      std::unique_ptr<PortBlock> out(new PortBlock(base));
      if (out->tryLock() && out->isFree())
        return out;
    }
    return nullptr;
  }

  ~PortBlock() {
    if (Lock >= 0)
      ::close(Lock);
  }
  PortBlock(const PortBlock &) = delete;
  PortBlock &operator=(const PortBlock &) = delete;

  uint16_t base() const { return Base; }
  /// A port that was not handed out before; nothing once all were.
  std::optional<uint16_t> next() {
    if (Used == Size)
      return std::nullopt;
    return static_cast<uint16_t>(Base + Used++);
  }

private:
  explicit PortBlock(uint16_t base) : Base(base) {
    auto locks = std::filesystem::temp_directory_path() / "daisytack-ports";
    std::filesystem::create_directories(locks);
    Lock = ::open((locks / std::to_string(base)).c_str(),
                  O_CREAT | O_RDWR | O_CLOEXEC, 0600);
  }
  bool tryLock() const {
    return Lock >= 0 && ::flock(Lock, LOCK_EX | LOCK_NB) == 0;
  }
  bool isFree() const {
    namespace ip = boost::asio::ip;
    boost::asio::io_context io;
    for (uint16_t i = 0; i < Size; ++i) {
      ip::tcp::acceptor probe(io);
      boost::system::error_code ec;
      probe.open(ip::tcp::v4());
      probe.set_option(ip::tcp::acceptor::reuse_address(true));
      probe.bind(
          {ip::make_address("127.0.0.1"), static_cast<uint16_t>(Base + i)}, ec);
      if (ec)
        return false;
    }
    return true;
  }

  uint16_t Base;
  uint16_t Used = 0;
  int Lock = -1;
};

/// A loopback address for this process alone; thread-safe.
inline Endpoint freeEndpoint() {
  static std::mutex lock;
  static std::vector<std::unique_ptr<PortBlock>> blocks;
  std::lock_guard guard(lock);
  std::optional<uint16_t> port;
  if (!blocks.empty())
    port = blocks.back()->next();
  if (!port) {
    blocks.push_back(PortBlock::take());
    if (!blocks.back())
      throw std::runtime_error("no free block of ports");
    port = blocks.back()->next();
  }
  return {"127.0.0.1", *port};
}

} // namespace daisytack::test
