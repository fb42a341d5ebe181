/// Processor time and bytes per stream of telling its owners who began it, and
/// of a lookup, by number of entries.
///
/// usage: bench_stream_origins [STREAMS per measurement, default 20000]
#include "base/clock.h"
#include "direct/peer_messages.h"
#include "wire/codec.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace daisytack::direct {

namespace {

constexpr size_t DefaultStreams = 20'000;

std::vector<EntryPeer> entries(size_t n) {
  std::vector<EntryPeer> out;
  for (size_t i = 0; i < n; ++i)
    out.push_back(
        {"frontend-" + std::to_string(i),
         {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
          7000}});
  return out;
}

double microsecondsSince(BootClock::time_point begin, size_t n) {
  return std::chrono::duration<double, std::micro>(BootClock::now() - begin)
             .count() /
         static_cast<double>(n);
}

void measure(size_t entryCount, size_t streams) {
  std::vector<EntryPeer> peers = entries(entryCount);
  StreamOwnerIndex owners(peers);
  StreamOrigins origins({});
  const StreamOrigin origin{"redaction-llm", "v1.2"};
  size_t bytes = 0;
  size_t messages = 0;
  TimePoint now = monotonicNow();
  auto begin = BootClock::now();
  for (size_t i = 0; i < streams; ++i) {
    Id128 stream = streamKey("organisation", "request-" + std::to_string(i));
    origins.onBegan(stream, origin, now);
    for (const StreamsBegan &it : origins.takeUntold())
      for (const Endpoint &owner : owners.ownersOf(stream, peers[0].Peer)) {
        (void)owner;
        bytes += wire::encode(PeerMessage(it)).size();
        ++messages;
      }
  }
  double told = microsecondsSince(begin, streams);
  begin = BootClock::now();
  size_t found = 0;
  for (size_t i = 0; i < streams; ++i) {
    Id128 stream = streamKey("organisation", "request-" + std::to_string(i));
    found += origins.find(stream, now) ? 1 : 0;
  }
  std::printf("%6zu entries: %.2f us and %.0f bytes in %.2f messages to tell a "
              "stream, %.2f us to find one (%zu found)\n",
              entryCount, told,
              static_cast<double>(bytes) / static_cast<double>(streams),
              static_cast<double>(messages) / static_cast<double>(streams),
              microsecondsSince(begin, streams), found);
}

} // namespace

} // namespace daisytack::direct

int main(int argc, char **argv) {
  size_t streams = argc > 1 ? std::strtoul(argv[1], nullptr, 10)
                            : daisytack::direct::DefaultStreams;
  for (size_t entries : {5U, 30U, 300U, 1300U})
    daisytack::direct::measure(entries, streams);
  return 0;
}
