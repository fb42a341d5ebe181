/// Compile-time limits on memory, messages and input, each with its unit.
#pragma once

#include <cstddef>
#include <cstdint>

namespace daisytack {

/// Version of the protocol between daisytack processes. Peers with a different
/// version are refused.
constexpr uint8_t ProtocolVersion = 1;

/// Tokens in one piece of kept context, and the bytes of prompt text that count
/// as one token.
constexpr uint32_t PieceTokens = 1024;
constexpr uint32_t BytesPerToken = 4;
constexpr uint32_t PieceBytes = PieceTokens * BytesPerToken;

/// Number of leading pieces of a prompt that determine its backend server.
constexpr uint32_t RoutingPieces = 2;

/// Maximum number of candidates returned by a routing decision.
constexpr size_t MaxCandidates = 4;

/// Maximum number of attempts at one request, over all backend servers.
constexpr uint32_t MaxAttempts = 4;

/// Maximum size of a frame between an entry and an agent, and between peers, in
/// bytes. Checked before decoding.
constexpr size_t MaxFrameBytes = 8U << 20;

/// Maximum size of a datagram between peers, in bytes: fits an Ethernet frame.
constexpr size_t MaxDatagramBytes = 1400;

/// Maximum size of a value in the key-value service, in bytes.
constexpr size_t MaxValueBytes = 1U << 20;

/// Default HTTP limits, in bytes; settings may lower them.
constexpr size_t MaxHttpHeaderBytes = 16U << 10;
constexpr size_t MaxHttpBodyBytes = 4U << 20;

/// Maximum length of the names of organisations, models, classes and services,
/// in bytes.
constexpr size_t MaxNameBytes = 63;

/// Number of events kept in a process's ring buffer.
constexpr size_t EventRingSize = 1U << 14;

/// Maximum number of concurrent weight loads over one model's backend servers.
constexpr uint32_t LoadSlots = 2;

/// Number of readers of the platform's key-value service per failure domain,
/// independent of the fleet's size.
constexpr uint32_t ReadersPerDomain = 2;

} // namespace daisytack
