/// Room for the body of a received request, out of a RequestMemory.
#pragma once

#include "admission/request_memory.h"
#include "net/http_server.h"

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

class HeldBody : public net::BodyReservation {
public:
  /// No body is longer than `maxBytes`.
  HeldBody(admission::MemoryReservation room, size_t maxBytes)
      : Room(std::move(room)), MaxBytes(maxBytes) {}
  /// Doubles the room, as the buffer of the body does when it grows.
  bool reserve(size_t bytes) override {
    return bytes <= Room.bytes() ||
           Room.grow(std::max(bytes, std::min(2 * Room.bytes(), MaxBytes)));
  }
  void onReceived(size_t bytes) override { Room.setReceived(bytes); }

private:
  admission::MemoryReservation Room;
  size_t MaxBytes;
};

} // namespace daisytack::gateway
