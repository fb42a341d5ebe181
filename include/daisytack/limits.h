/// Compile-time limits. Everything that bounds memory, messages or input stands
/// here, with its unit.
#pragma once

#include <cstddef>
#include <cstdint>

namespace daisytack {

/// Version of the messages between daisytack's own processes; peers with
/// another one are refused.
constexpr uint8_t ProtocolVersion = 1;

/// Tokens in one piece of kept context, and the bytes of prompt text that are
/// taken for one token.
constexpr uint32_t PieceTokens = 1024;
constexpr uint32_t BytesPerToken = 4;
constexpr uint32_t PieceBytes = PieceTokens * BytesPerToken;

/// Leading pieces of a prompt that choose its backend server.
constexpr uint32_t RoutingPieces = 2;

/// Candidates that a routing decision returns at most.
constexpr size_t MaxCandidates = 4;

/// Attempts at one request over all backend servers.
constexpr uint32_t MaxAttempts = 4;

/// Frame between an entry and an agent, and between peers, in bytes. Checked
/// before decoding.
constexpr size_t MaxFrameBytes = 8U << 20;

/// Datagram between peers, in bytes: fits an Ethernet frame.
constexpr size_t MaxDatagramBytes = 1400;

/// A value in the key-value service, in bytes.
constexpr size_t MaxValueBytes = 1U << 20;

/// HTTP defaults, in bytes; settings may lower them.
constexpr size_t MaxHttpHeaderBytes = 16U << 10;
constexpr size_t MaxHttpBodyBytes = 4U << 20;

/// Names of organisations, models, classes and services, in bytes.
constexpr size_t MaxNameBytes = 63;

/// Events that a process keeps in its ring.
constexpr size_t EventRingSize = 1U << 14;

/// Loads of weights that may run at once over one model's backend servers.
constexpr uint32_t LoadSlots = 2;

/// Readers of the platform's service per failure domain, whatever the fleet's
/// size.
constexpr uint32_t ReadersPerDomain = 2;

} // namespace daisytack
