#include "once/key_binding.h"

#include "base/digest.h"
#include "once/ticket.h"

#include <algorithm>

namespace daisytack {

namespace {

constexpr std::string_view BindingPrefix = "/daisytack/once/";
constexpr size_t WriterIdDigits = 32;

/// The stored value of a binding: "WRITER_ID TICKET".
std::string bindingValue(const BindRequest &request) {
  return toHex(request.WriterId) + ' ' + request.Ticket;
}

BindStep makeRefusal(ErrorKind kind, std::string detail) {
  return KeyRefused{{kind, std::move(detail), Duration(1'000'000)}};
}

} // namespace

std::string bindingKey(std::string_view organisation,
                       std::string_view idempotencyKey) {
  std::string out(BindingPrefix);
  out += organisation;
  out += '/';
  out += hexDigest(sha256(idempotencyKey));
  return out;
}

KeyBinding::KeyBinding(BindRequest request)
    : Request(std::move(request)),
      Key(bindingKey(Request.Organisation, Request.IdempotencyKey)) {}

BindStep KeyBinding::start() { return create(); }

BindStep KeyBinding::create() {
  ++Calls;
  edge::KvTransaction out;
  out.If.push_back({Key, edge::KvCompare::Target::CreateRevision, 0});
  out.Then.push_back({Key, bindingValue(Request), Request.Lease, false});
  out.ReadOnFailure.push_back(Key);
  return out;
}

BindStep KeyBinding::readBack() {
  if (Calls >= MaxCalls)
    return makeRefusal(
        ErrorKind::ServiceUnknown,
        "the key-value service did not say whether the key is bound");
  ++Calls;
  edge::KvRange out;
  out.Begin = Key;
  return out;
}

BindStep KeyBinding::onCommit(const edge::KvTransactionResult &result) {
  switch (result.Header.Status) {
  case edge::KvStatus::Ok:
    return KeyBound{Request.Ticket, true};
  case edge::KvStatus::CompareFailed:
    // Without a value, the binding expired between the compare and the read.
    return result.Current.empty() ? readBack()
                                  : parseBinding(result.Current.front().Value);
  case edge::KvStatus::Unavailable:
    // After the first call, an earlier create may have taken effect.
    if (Calls == 1)
      return makeRefusal(ErrorKind::ServiceUnavailable,
                         "the key-value service can't be reached");
    return readBack();
  case edge::KvStatus::Unknown:
    return readBack();
  }
  return makeRefusal(ErrorKind::Internal, "unknown status");
}

BindStep KeyBinding::onRange(const edge::KvRangeResult &result) {
  if (result.Header.Status != edge::KvStatus::Ok)
    return makeRefusal(
        ErrorKind::ServiceUnknown,
        "the key-value service did not say whether the key is bound");
  if (!result.Entries.empty())
    return parseBinding(result.Entries.front().Value);
  if (Calls >= MaxCalls)
    return makeRefusal(ErrorKind::ServiceUnknown,
                       "the key is not bound yet, but may be a little later");
  // A second create can't bind twice: both writes carry the same ticket, and
  // only the first one applied finds no key.
  return create();
}

BindStep KeyBinding::parseBinding(std::string_view value) const {
  Error reason;
  size_t n = WriterIdDigits;
  bool hasSeparator = value.size() > n && value[n] == ' ';
  if (!hasSeparator || !parseTicket(value.substr(n + 1), reason))
    return makeRefusal(ErrorKind::BadValue, "the key's binding can't be read");
  KeyBound out;
  out.Ticket = std::string(value.substr(n + 1));
  out.WrittenByRequest = value.substr(0, n) == toHex(Request.WriterId);
  return out;
}

BindingBudget::BindingBudget(BindingBudgetInit init)
    : Init(init), Tokens(init.Burst) {}

bool BindingBudget::take(TimePoint now, Error &reason) {
  if (LastRefill && now > *LastRefill) {
    double seconds = std::chrono::duration<double>(now - *LastRefill).count();
    Tokens = std::min(Init.Burst, Tokens + seconds * Init.BindingsPerSecond);
  }
  if (!LastRefill || now > *LastRefill)
    LastRefill = now;
  if (Tokens >= 1) {
    Tokens -= 1;
    return true;
  }
  double wait = (1 - Tokens) / Init.BindingsPerSecond;
  reason = {ErrorKind::BudgetSpent,
            "this process has spent its calls to the key-value service",
            std::chrono::ceil<Duration>(std::chrono::duration<double>(wait))};
  return false;
}

std::optional<uint64_t> BindingLease::current(TimePoint now) const {
  if (Lease == 0 || now - GrantedAt >= Init.ReuseWindow)
    return std::nullopt;
  return Lease;
}

void BindingLease::granted(uint64_t lease, TimePoint askedAt) {
  Lease = lease;
  GrantedAt = askedAt;
}

} // namespace daisytack
