/// Loans of requests between entries that share a quota, without faults of the
/// entries themselves; quota_loans_model_test.cpp has those.
#include "balancing/slow_start.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

namespace daisytack::balancing {
namespace {

using namespace std::chrono_literals;

const TimePoint Begin{Duration(1'000'000'000)};
constexpr Duration Window = 1s;

Endpoint addressOf(size_t entry) {
  return {"10.0.0." + std::to_string(entry + 1), 7000};
}

class QuotaLoansTest : public testing::Test {
protected:
  QuotaLoansTest() {
    Server.Id = "wanted";
    Bound.Requests = 20;
    Bound.Window = Window;
    for (size_t i = 0; i < 2; ++i)
      Known.Registered[addressOf(i)] = 1;
  }
  /// Sends as much as is possible at the time.
  size_t sendAll(SharedQuota &entry, TimePoint now) {
    size_t out = 0;
    while (entry.tryAcquire(Server, Bound, Known, now))
      ++out;
    return out;
  }
  /// The request for a loan of the borrower, whose share is used up.
  QuotaLoanRequest request(TimePoint now) {
    auto out = Borrower.takeLoanRequests(Known, 3, now);
    if (out.size() != 1) {
      ADD_FAILURE() << out.size() << " requests for loans";
      return {};
    }
    EXPECT_EQ(out[0].Peer, addressOf(0));
    return out[0].Message;
  }
  std::optional<QuotaLoan> grant(const QuotaLoanRequest &request,
                                 TimePoint now) {
    return Lender.onLoanRequest(request, addressOf(1), Server, Bound, Known,
                                now);
  }
  /// Uses up the borrower's share, with denied requests beyond it.
  void useUpShare(TimePoint now, size_t denied = 10) {
    EXPECT_EQ(sendAll(Borrower, now), 10);
    for (size_t i = 1; i < denied; ++i)
      Borrower.tryAcquire(Server, Bound, Known, now);
  }

  direct::BackendServer Server;
  QuotaBound Bound;
  direct::Catalog Known;
  SharedQuota Lender{addressOf(0), Begin - 10s, true};
  SharedQuota Borrower{addressOf(1), Begin - 10s, true};
};

/// Guards against a lender that sends what its borrower may still have sent
/// within the window.
TEST_F(QuotaLoansTest, LenderDeductsUntilTheLoanHasLeftTheWindow) {
  useUpShare(Begin);
  auto loan = grant(request(Begin), Begin);
  ASSERT_TRUE(loan);
  EXPECT_EQ(loan->Requests, 5);
  EXPECT_EQ(Borrower.onLoan(*loan, Begin), 5);
  EXPECT_EQ(sendAll(Borrower, Begin + 1ms), 5);
  TimePoint end = Begin + 2 * Window + QuotaLoanMargin;
  EXPECT_EQ(sendAll(Lender, end - Window - 1us), 5);
  EXPECT_EQ(sendAll(Lender, end - 1us), 5);
  EXPECT_EQ(Lender.availableAt(Server, Bound, Known, end - 1us), end);
  EXPECT_EQ(sendAll(Lender, end), 5);
  EXPECT_EQ(Lender.loanCounts(), (QuotaLoanCounts{0, 1, 0, 0}));
  EXPECT_EQ(Borrower.loanCounts(), (QuotaLoanCounts{1, 0, 1, 5}));
}

/// Guards against counting the term from a late grant.
TEST_F(QuotaLoansTest, LoanEndsOneTermAfterItsRequest) {
  useUpShare(Begin);
  auto loan = grant(request(Begin), Begin + 100ms);
  ASSERT_TRUE(loan);
  EXPECT_EQ(Borrower.onLoan(*loan, Begin + Window - 1us), 5);
  EXPECT_EQ(sendAll(Borrower, Begin + Window - 1us), 5);
  useUpShare(Begin + Window);
  auto late = grant(request(Begin + Window), Begin + 3 * Window);
  ASSERT_TRUE(late);
  EXPECT_EQ(Borrower.onLoan(*late, Begin + 3 * Window), 0);
}

/// Guards against using a loan twice.
TEST_F(QuotaLoansTest, IgnoresRepeatedMessages) {
  useUpShare(Begin);
  QuotaLoanRequest wish = request(Begin);
  auto loan = grant(wish, Begin);
  ASSERT_TRUE(loan);
  EXPECT_FALSE(grant(wish, Begin));
  EXPECT_EQ(Borrower.onLoan(*loan, Begin), 5);
  EXPECT_EQ(Borrower.onLoan(*loan, Begin), 0);
  EXPECT_EQ(sendAll(Borrower, Begin), 5);
}

/// Guards against using a loan of an earlier process at the same address.
TEST_F(QuotaLoansTest, DropsGrantsThatItDidNotRequest) {
  useUpShare(Begin);
  auto loan = grant(request(Begin), Begin);
  ASSERT_TRUE(loan);
  SharedQuota restarted(addressOf(1), Begin + 1ms, true);
  EXPECT_FALSE(restarted.tryAcquire(Server, Bound, Known, Begin + 2ms));
  EXPECT_EQ(restarted.onLoan(*loan, Begin + 2ms), 0);
}

/// Guards against lending what the lender needs itself, or has sent already.
TEST_F(QuotaLoansTest, LendsOnlyWhileLessThanHalfOfTheShareIsUsed) {
  useUpShare(Begin);
  for (int i = 0; i < 5; ++i)
    EXPECT_TRUE(Lender.tryAcquire(Server, Bound, Known, Begin - 1ms));
  EXPECT_FALSE(grant(request(Begin), Begin));
  useUpShare(Begin + 2 * Window);
  EXPECT_TRUE(Lender.tryAcquire(Server, Bound, Known, Begin + 2 * Window));
  EXPECT_TRUE(grant(request(Begin + 2 * Window), Begin + 2 * Window));
}

TEST_F(QuotaLoansTest, RequestsNoMoreThanWasDenied) {
  useUpShare(Begin, 3);
  auto loan = grant(request(Begin), Begin);
  ASSERT_TRUE(loan);
  EXPECT_EQ(loan->Requests, 3);
}

/// Guards against more datagrams than the budget allows while no peer answers.
TEST_F(QuotaLoansTest, HasAtMostTwoRequestsInFlight) {
  size_t requests = 0;
  for (TimePoint now = Begin; now < Begin + 1s; now += 10ms) {
    sendAll(Borrower, now);
    requests += Borrower.takeLoanRequests(Known, 3, now).size();
  }
  EXPECT_EQ(requests, 10);
}

/// Entries with different bounds or registrations divide different quotas.
TEST_F(QuotaLoansTest, LendsOnlyForTheSameBoundAndRegistrations) {
  useUpShare(Begin);
  QuotaLoanRequest wish = request(Begin);
  QuotaBound other = Bound;
  other.Requests = 30;
  EXPECT_FALSE(
      Lender.onLoanRequest(wish, addressOf(1), Server, other, Known, Begin));
  direct::Catalog more = Known;
  more.Registered[addressOf(2)] = 1;
  ++more.RegisteredVersion;
  EXPECT_FALSE(
      Lender.onLoanRequest(wish, addressOf(1), Server, Bound, more, Begin));
  EXPECT_TRUE(grant(wish, Begin));
}

/// Guards against a share that has shrunk being sent beyond what is lent of it.
TEST_F(QuotaLoansTest, ChangedBoundEndsLoansButNotDeductions) {
  useUpShare(Begin);
  auto loan = grant(request(Begin), Begin);
  ASSERT_TRUE(loan);
  EXPECT_EQ(Borrower.onLoan(*loan, Begin), 5);
  Bound.Requests = 12;
  EXPECT_EQ(sendAll(Borrower, Begin), 0);
  EXPECT_EQ(sendAll(Lender, Begin), 1);
}

TEST_F(QuotaLoansTest, EntriesThatAreNotRegisteredNeitherLendNorBorrow) {
  useUpShare(Begin);
  QuotaLoanRequest wish = request(Begin);
  EXPECT_FALSE(
      Lender.onLoanRequest(wish, addressOf(7), Server, Bound, Known, Begin));
  SharedQuota stranger(addressOf(7), Begin - 10s, true);
  EXPECT_FALSE(
      stranger.onLoanRequest(wish, addressOf(1), Server, Bound, Known, Begin));
  EXPECT_EQ(sendAll(stranger, Begin), 0);
  EXPECT_TRUE(stranger.takeLoanRequests(Known, 3, Begin).empty());
}

/// Guards against sending what an earlier process at the address lent.
TEST_F(QuotaLoansTest, StartsWithHalfOfItsShare) {
  SharedQuota started(addressOf(0), Begin, true);
  EXPECT_EQ(sendAll(started, Begin + Window - 1us), 0);
  EXPECT_EQ(sendAll(started, Begin + Window), 5);
  TimePoint end = Begin + 2 * Window + QuotaLoanMargin;
  useUpShare(end - 1us);
  QuotaLoanRequest wish = request(end - 1us);
  EXPECT_FALSE(started.onLoanRequest(wish, addressOf(1), Server, Bound, Known,
                                     end - 1us));
  EXPECT_EQ(sendAll(started, end), 10);
}

/// Guards against a lender that restarts and sends its whole share while its
/// borrower uses the loan of the earlier process, of which it knows nothing.
TEST_F(QuotaLoansTest, HoldsTheBoundWhenALenderRestarts) {
  useUpShare(Begin);
  auto loan = grant(request(Begin), Begin);
  ASSERT_TRUE(loan);
  EXPECT_EQ(Borrower.onLoan(*loan, Begin), 5);
  SharedQuota restarted(addressOf(0), Begin + 1ms, true);
  size_t sent = sendAll(Borrower, Begin + Window - 1us);
  EXPECT_EQ(sent, 5);
  for (TimePoint now = Begin + Window; now < Begin + 2 * Window - 1us;
       now += 1ms)
    sent += sendAll(Borrower, now) + sendAll(restarted, now);
  EXPECT_EQ(sent, 20);
}

TEST_F(QuotaLoansTest, CanBeSwitchedOff) {
  SharedQuota lender(addressOf(0), Begin - 10s, false);
  SharedQuota borrower(addressOf(1), Begin - 10s, false);
  EXPECT_EQ(sendAll(borrower, Begin), 10);
  EXPECT_TRUE(borrower.takeLoanRequests(Known, 3, Begin).empty());
  useUpShare(Begin);
  EXPECT_FALSE(lender.onLoanRequest(request(Begin), addressOf(1), Server, Bound,
                                    Known, Begin));
}

/// Guards against state that outlives its use, and against dropping a deduction
/// that is in force.
TEST_F(QuotaLoansTest, KeepsDeductionsOfServersThatItDoesNotUse) {
  useUpShare(Begin);
  ASSERT_TRUE(grant(request(Begin), Begin));
  Lender.forgetIdle(Begin + 2 * Window);
  EXPECT_EQ(sendAll(Lender, Begin + 2 * Window), 5);
}

/// Slow start lends from its own quota: the bound's id differs.
TEST(SlowStartLoansTest, MovesTheShareOfIdleEntries) {
  direct::BackendServer server;
  server.Id = "cold";
  direct::Catalog known;
  for (size_t i = 0; i < 4; ++i)
    known.Registered[addressOf(i)] = 1;
  auto start = [](size_t i) {
    return std::make_unique<SlowStart>(SlowStartSettings{}, addressOf(i),
                                       Begin - 10s);
  };
  std::map<Endpoint, std::unique_ptr<SlowStart>> peers;
  for (size_t i = 1; i < 4; ++i)
    peers[addressOf(i)] = start(i);
  auto busy = start(0);
  size_t sent = 0;
  for (TimePoint now = Begin; now < Begin + 1100ms; now += 10ms) {
    sent += busy->tryAcquire(server, 100, known, now) ? 1 : 0;
    if ((now - Begin) % 100ms != 0ms)
      continue;
    for (const auto &it : busy->takeLoanRequests(known, 3, now))
      if (auto loan = peers[it.Peer]->onLoanRequest(it.Message, addressOf(0),
                                                    server, 100, known, now))
        busy->onLoan(*loan, now);
  }
  // A quota of 85 in 1.1 s: a share of 21 or 22, and ten from each peer.
  EXPECT_GE(sent, 46);
  EXPECT_LE(sent, 52);
}

} // namespace
} // namespace daisytack::balancing
