#include "admission/request_memory.h"

#include <algorithm>
#include <utility>

namespace daisytack::admission {

namespace {

int64_t signedOf(size_t bytes) { return static_cast<int64_t>(bytes); }

int64_t scaled(int64_t bytes, double factor) {
  return static_cast<int64_t>(static_cast<double>(bytes) * factor);
}

} // namespace

std::string_view memoryCauseName(MemoryCause cause) {
  switch (cause) {
  case MemoryCause::Body:
    return "body";
  case MemoryCause::Answer:
    return "answer";
  case MemoryCause::Head:
    return "head";
  }
  return "unknown";
}

RequestMemory::RequestMemory(RequestMemorySettings settings)
    : Settings(settings), Limit(settings.MinLimitBytes) {}

int64_t RequestMemory::freeBytes() const {
  // Received bytes of bodies are part of what is reserved.
  return signedOf(Limit) - signedOf(Reserved) -
         Held[static_cast<size_t>(MemoryCause::Answer)] -
         Held[static_cast<size_t>(MemoryCause::Head)];
}

bool RequestMemory::mayReserve(const Account &account, size_t before,
                               size_t after) const {
  int64_t extra = signedOf(after) - signedOf(before);
  int64_t forSmall = scaled(signedOf(Limit), Settings.SmallShare);
  int64_t room = freeBytes() - forSmall;
  int64_t used = signedOf(account.Total);
  if (isSmall(after)) {
    // The part for small bodies is theirs also while the limit is exceeded.
    room = std::max(freeBytes(), forSmall - signedOf(SmallReserved));
    used = signedOf(account.Small);
  }
  return extra <= room && used + extra <= scaled(room, Settings.ShareFactor);
}

void RequestMemory::resize(Account &account, size_t before, size_t after) {
  // Sums of unsigned numbers, where the intermediate result may wrap.
  size_t small = (isSmall(after) ? after : 0) - (isSmall(before) ? before : 0);
  account.Small += small;
  SmallReserved += small;
  account.Total += after - before;
  Reserved += after - before;
}

std::optional<MemoryReservation>
RequestMemory::reserve(std::string_view organisation, size_t bytes) {
  bytes = std::max<size_t>(bytes, 1); // See release().
  std::lock_guard guard(Lock);
  auto it = Organisations.find(organisation);
  if (!mayReserve(it == Organisations.end() ? Account() : it->second, 0,
                  bytes)) {
    ++Refusals;
    return std::nullopt;
  }
  if (it == Organisations.end())
    it = Organisations.emplace(organisation, Account()).first;
  resize(it->second, 0, bytes);
  return MemoryReservation(shared_from_this(), *it, bytes);
}

bool RequestMemory::grow(Accounts::value_type &owner, size_t before,
                         size_t after) {
  std::lock_guard guard(Lock);
  if (!mayReserve(owner.second, before, after)) {
    ++Refusals;
    return false;
  }
  resize(owner.second, before, after);
  return true;
}

void RequestMemory::release(Accounts::value_type &owner, size_t bytes,
                            size_t held) {
  adjust(MemoryCause::Body, -signedOf(held));
  std::lock_guard guard(Lock);
  resize(owner.second, bytes, 0);
  // A reservation is never empty, so that no other one refers to the account.
  if (owner.second.Total == 0)
    Organisations.erase(Organisations.find(owner.first));
}

void RequestMemory::adjust(MemoryCause cause, int64_t change) {
  Held[static_cast<size_t>(cause)] += change;
}

void RequestMemory::onResident(size_t residentBytes) {
  int64_t held = 0;
  for (const auto &it : Held)
    held += it;
  int64_t others = std::max<int64_t>(signedOf(residentBytes) - held, 0);
  int64_t usable =
      scaled(signedOf(Settings.InstanceBytes), Settings.UsableShare);
  Limit = static_cast<size_t>(
      std::max(usable - others, signedOf(Settings.MinLimitBytes)));
}

size_t RequestMemory::answerAllowance() const {
  int64_t share =
      scaled(std::max<int64_t>(freeBytes(), 0), Settings.AnswerShare);
  return std::clamp(static_cast<size_t>(share), Settings.MinAnswerBytes,
                    Settings.MaxAnswerBytes);
}

Error RequestMemory::refusal(double position) const {
  Duration spread = Settings.MaxRetryAfter - Settings.MinRetryAfter;
  auto extra = Duration(scaled(spread.count(), std::clamp(position, 0.0, 1.0)));
  return {ErrorKind::Overloaded,
          "this entry has no memory left for the request's body; come back "
          "after Retry-After, or send a smaller one",
          Settings.MinRetryAfter + extra};
}

RequestMemoryView RequestMemory::view() const {
  RequestMemoryView out;
  out.Limit = Limit;
  out.Reserved = Reserved;
  for (size_t i = 0; i < Held.size(); ++i)
    out.Held[i] = static_cast<size_t>(std::max<int64_t>(Held[i], 0));
  out.Refusals = Refusals;
  return out;
}

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : Memory(std::move(other.Memory)), Owner(other.Owner), Bytes(other.Bytes),
      Received(other.Received) {}

MemoryReservation &
MemoryReservation::operator=(MemoryReservation &&other) noexcept {
  std::swap(Memory, other.Memory);
  std::swap(Owner, other.Owner);
  std::swap(Bytes, other.Bytes);
  std::swap(Received, other.Received);
  return *this;
}

MemoryReservation::~MemoryReservation() {
  if (Memory)
    Memory->release(*Owner, Bytes, Received);
}

bool MemoryReservation::grow(size_t bytes) {
  if (bytes <= Bytes)
    return true;
  if (!Memory->grow(*Owner, Bytes, bytes))
    return false;
  Bytes = bytes;
  return true;
}

void MemoryReservation::setReceived(size_t bytes) {
  Memory->adjust(MemoryCause::Body, signedOf(bytes) - signedOf(Received));
  Received = bytes;
}

void HeldMemory::set(size_t bytes) {
  if (bytes == Bytes)
    return;
  Memory->adjust(Cause, signedOf(bytes) - signedOf(Bytes));
  Bytes = bytes;
}

} // namespace daisytack::admission
