/// The memory that requests hold at an entry, and which further bodies fit.
///
/// The platform ends a process that takes more memory than its instance has,
/// with every request that it holds. The bytes that requests hold are therefore
/// counted, and a body is only read once its bytes are reserved. The sum has a
/// limit: a share of the instance's memory, less everything else that the
/// process takes, as measured.
///
/// An organisation may hold up to a factor times what is free (a dynamic
/// threshold, as in switches with a shared buffer). With the factor 1, a single
/// organisation can use half, two a third each, and some room always stays free
/// for another one. A part of the limit is open to small bodies only.
#pragma once

#include "daisytack/error.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace daisytack::admission {

struct RequestMemorySettings {
  size_t InstanceBytes = 512'000'000; ///< Memory of the instance.
  /// Share of it that the process may take. The rest covers what changes
  /// between two measurements.
  double UsableShare = 0.85;
  /// The limit is at least this, so that small requests go on whatever else
  /// takes the memory.
  size_t MinLimitBytes = 4'000'000;
  /// Bodies up to this size are small.
  size_t SmallBytes = 16U << 10;
  /// Share of the limit that only small bodies may use.
  double SmallShare = 0.125;
  /// What an organisation may hold, as a multiple of what is free.
  double ShareFactor = 1;
  /// An answer may have this share of what is free unsent, within the bounds.
  double AnswerShare = 1.0 / 64;
  size_t MinAnswerBytes = 16U << 10;
  size_t MaxAnswerBytes = 256U << 10;
  /// Shortest and longest Retry-After of a refused body. Room becomes free as
  /// other requests end, which takes a second or two.
  Duration MinRetryAfter{500'000};
  Duration MaxRetryAfter{1'500'000};
  bool operator==(const RequestMemorySettings &) const = default;
};

/// What requests hold bytes for.
enum class MemoryCause : uint8_t {
  Body,   ///< Received bytes of bodies.
  Answer, ///< Answers that are buffered or not yet sent.
  Head,   ///< Input that was not parsed yet, with its buffers.
};
constexpr size_t MemoryCauseCount = 3;

/// Stable lower-case name of the cause, such as "body".
std::string_view memoryCauseName(MemoryCause cause);

/// The state of a RequestMemory at one moment, in bytes.
struct RequestMemoryView {
  size_t Limit = 0;
  size_t Reserved = 0;                         ///< For bodies, received or not.
  std::array<size_t, MemoryCauseCount> Held{}; ///< By cause.
  uint64_t Refusals = 0;                       ///< Count since the start.
  bool operator==(const RequestMemoryView &) const = default;
};

class MemoryReservation;

/// Thread-safe. Reservations keep it alive.
class RequestMemory : public std::enable_shared_from_this<RequestMemory> {
public:
  explicit RequestMemory(RequestMemorySettings settings);

  /// Reserves room for a body; nullopt if there is none for the organisation.
  std::optional<MemoryReservation> reserve(std::string_view organisation,
                                           size_t bytes);
  /// Counts bytes that are held without a reservation.
  void adjust(MemoryCause cause, int64_t change);
  /// Sets the limit by the memory that the whole process takes.
  void onResident(size_t residentBytes);
  /// Unsent bytes above which an answer should not be read any further from its
  /// server.
  size_t answerAllowance() const;
  /// The error for a caller whose body was refused. `position`, from 0 to 1,
  /// spreads the times at which refused callers return.
  Error refusal(double position) const;
  RequestMemoryView view() const;

private:
  friend class MemoryReservation;
  /// What an organisation has reserved, in bytes.
  struct Account {
    size_t Small = 0; ///< For small bodies.
    size_t Total = 0;
  };
  struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  using Accounts =
      std::unordered_map<std::string, Account, TextHash, std::equal_to<>>;

  bool isSmall(size_t bytes) const { return bytes <= Settings.SmallBytes; }
  /// What is left of the limit; negative after the limit has fallen.
  int64_t freeBytes() const;
  /// Whether the organisation may raise a reservation from `before` to `after`.
  bool mayReserve(const Account &account, size_t before, size_t after) const;
  /// Changes the size of one reservation; 0: it begins, or ends.
  void resize(Account &account, size_t before, size_t after);
  bool grow(Accounts::value_type &owner, size_t before, size_t after);
  void release(Accounts::value_type &owner, size_t bytes, size_t held);

  const RequestMemorySettings Settings;
  std::atomic<size_t> Limit;
  std::atomic<size_t> Reserved{0};
  std::array<std::atomic<int64_t>, MemoryCauseCount> Held{};
  std::atomic<uint64_t> Refusals{0};
  std::mutex Lock; ///< Guards the members below, and changes of Reserved.
  Accounts Organisations; ///< Those with reservations.
  size_t SmallReserved = 0;
};

/// Room for one body. Movable; the destructor returns the room.
class MemoryReservation {
public:
  MemoryReservation(MemoryReservation &&other) noexcept;
  MemoryReservation &operator=(MemoryReservation &&other) noexcept;
  ~MemoryReservation();

  size_t bytes() const { return Bytes; }
  /// Raises the reservation to this number of bytes; false, without a change,
  /// if there is no room.
  bool grow(size_t bytes);
  /// Sets how many of the bytes have been received.
  void setReceived(size_t bytes);

private:
  friend class RequestMemory;
  MemoryReservation(std::shared_ptr<RequestMemory> memory,
                    RequestMemory::Accounts::value_type &owner, size_t bytes)
      : Memory(std::move(memory)), Owner(&owner), Bytes(bytes) {}

  std::shared_ptr<RequestMemory> Memory; ///< Null after a move.
  RequestMemory::Accounts::value_type *Owner;
  size_t Bytes;
  size_t Received = 0;
};

/// A number of bytes that are held for a cause without a reservation. The
/// destructor subtracts it.
class HeldMemory {
public:
  HeldMemory(std::shared_ptr<RequestMemory> memory, MemoryCause cause)
      : Memory(std::move(memory)), Cause(cause) {}
  HeldMemory(const HeldMemory &) = delete;
  HeldMemory &operator=(const HeldMemory &) = delete;
  ~HeldMemory() { set(0); }
  void set(size_t bytes);

private:
  std::shared_ptr<RequestMemory> Memory;
  MemoryCause Cause;
  size_t Bytes = 0;
};

} // namespace daisytack::admission
