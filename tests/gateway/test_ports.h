/// Loopback ports that nothing else takes before a test listens on them.
///
/// The kernel may give a free port that it has just named to an outgoing
/// connection of any process until somebody listens on it; with eight test
/// processes at once, a listener found its port taken. The ports here lie below
/// the kernel's ephemeral range, in blocks that a file lock reserves until the
/// process ends.
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

/// A range of ports reserved for its holder. The scripts that run whole
/// deployments lock their blocks, from port 23000 on, in the same directory.
class PortBlock {
public:
  static constexpr uint16_t First = 16000;
  static constexpr uint16_t Size = 50;
  static constexpr uint16_t Blocks = 140;

  /// Takes the first block that nobody holds and on which nobody listens; null
  /// if there is none.
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
  /// A port that was not returned before; nothing if all were.
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

/// A loopback address that no other caller or process gets. Thread-safe.
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
