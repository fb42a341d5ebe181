#include "once/key_binding.h"

#include "once/ticket.h"

#include <gtest/gtest.h>

namespace daisytack {

namespace {

using edge::KvRange;
using edge::KvRangeResult;
using edge::KvStatus;
using edge::KvTransaction;
using edge::KvTransactionResult;

std::string ticketOf(const std::string &instance) {
  Error reason;
  return signTicket({instance, {1, 1}, "org", {2, 2}, {}, {}}, "s", reason)
      .value_or("");
}

BindRequest request() { return {"org", "order 7", ticketOf("a"), {3, 4}, 9}; }

KvTransactionResult committed(KvStatus status) {
  KvTransactionResult out;
  out.Header.Status = status;
  return out;
}

KvRangeResult found(std::string value) {
  KvRangeResult out;
  out.Header.Status = KvStatus::Ok;
  if (!value.empty())
    out.Entries.push_back({bindingKey("org", "order 7"), std::move(value)});
  return out;
}

ErrorKind refusalOf(const BindStep &step) {
  auto *refused = std::get_if<KeyRefused>(&step);
  return refused ? refused->Reason.Kind : ErrorKind::None;
}

} // namespace

TEST(KeyBinding, CreatesUnderALeaseOnlyWhenTheKeyIsNew) {
  KeyBinding binding(request());
  auto call = std::get<KvTransaction>(binding.start());
  ASSERT_EQ(call.If.size(), 1U);
  EXPECT_EQ(call.If[0].Field, edge::KvCompare::Target::CreateRevision);
  EXPECT_EQ(call.If[0].Number, 0U);
  EXPECT_EQ(call.Then[0].Lease, 9U);
  EXPECT_EQ(call.Then[0].Key.find("order 7"), std::string::npos);
  EXPECT_EQ(std::get<KeyBound>(binding.onCommit(committed(KvStatus::Ok))),
            (KeyBound{ticketOf("a"), true}));
}

TEST(KeyBinding, ReturnsTheTicketThatIsAlreadyBound) {
  KeyBinding binding(request());
  binding.start();
  auto lost = committed(KvStatus::CompareFailed);
  lost.Current.push_back({"", toHex(Id128{8, 8}) + " " + ticketOf("b")});
  EXPECT_EQ(std::get<KeyBound>(binding.onCommit(lost)),
            (KeyBound{ticketOf("b"), false}));
}

TEST(KeyBinding, ReadsTheBindingBackAfterALostAnswer) {
  KeyBinding binding(request());
  binding.start();
  ASSERT_TRUE(std::holds_alternative<KvRange>(
      binding.onCommit(committed(KvStatus::Unknown))));
  std::string ours = toHex(Id128{3, 4}) + " " + ticketOf("a");
  EXPECT_EQ(std::get<KeyBound>(binding.onRange(found(ours))),
            (KeyBound{ticketOf("a"), true}));
}

TEST(KeyBinding, RetriesTheCreateOfAnAbsentKeyUpToMaxCalls) {
  KeyBinding binding(request());
  BindStep step = binding.start();
  uint32_t calls = 0;
  while (refusalOf(step) == ErrorKind::None) {
    ASSERT_LT(++calls, 10U);
    step = std::holds_alternative<KvTransaction>(step)
               ? binding.onCommit(committed(KvStatus::Unknown))
               : binding.onRange(found(""));
  }
  EXPECT_EQ(calls, KeyBinding::MaxCalls);
  EXPECT_EQ(refusalOf(step), ErrorKind::ServiceUnknown);
}

TEST(KeyBinding, RefusesDuringAnOutage) {
  KeyBinding binding(request());
  binding.start();
  EXPECT_EQ(refusalOf(binding.onCommit(committed(KvStatus::Unavailable))),
            ErrorKind::ServiceUnavailable);
}

TEST(KeyBinding, ReportsUnknownAfterALostAnswerAndAnOutage) {
  KeyBinding binding(request());
  binding.start();
  binding.onCommit(committed(KvStatus::Unknown));
  KvRangeResult down;
  down.Header.Status = KvStatus::Unavailable;
  EXPECT_EQ(refusalOf(binding.onRange(down)), ErrorKind::ServiceUnknown);
}

TEST(KeyBinding, RefusesAnUnreadableBinding) {
  for (const char *value : {"x", "00 dt1:", "garbage"}) {
    KeyBinding binding(request());
    binding.start();
    binding.onCommit(committed(KvStatus::Unknown));
    EXPECT_EQ(refusalOf(binding.onRange(found(value))), ErrorKind::BadValue);
  }
}

TEST(BindingBudget, RefusesBeyondRateAndBurst) {
  BindingBudget budget({2, 3});
  TimePoint now(Duration(1'000'000));
  Error reason;
  for (int i = 0; i < 3; ++i)
    EXPECT_TRUE(budget.take(now, reason));
  EXPECT_FALSE(budget.take(now, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::BudgetSpent);
  EXPECT_EQ(reason.RetryAfter, Duration(500'000));
  EXPECT_TRUE(budget.take(now + reason.RetryAfter, reason));
  EXPECT_FALSE(budget.take(now, reason));
}

TEST(BindingLease, IsReusedWithinTheReuseWindow) {
  BindingLease lease({});
  TimePoint asked(Duration(5));
  EXPECT_FALSE(lease.current(asked));
  lease.granted(77, asked);
  Duration hour = lease.settings().ReuseWindow;
  EXPECT_EQ(lease.current(asked + hour - Duration(1)), 77U);
  EXPECT_FALSE(lease.current(asked + hour));
}

} // namespace daisytack
