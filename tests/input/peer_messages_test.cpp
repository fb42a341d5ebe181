/// Guards against entries that end, take memory without bound or stop following
/// because of odd numbers in other entries' messages.
#include "admission/organisation_shares.h"
#include "balancing/shared_quota.h"
#include "direct/crash_suspects.h"
#include "direct/record_transfer.h"

#include <gtest/gtest.h>

#include <limits>

namespace daisytack {
namespace {

using namespace std::chrono_literals;

const TimePoint Now{Duration(1'000'000'000)};
const Id128 Signature{1, 2};

/// Guards against an entry that allocates memory for each of the incidents that
/// a datagram claims, 34 GB for the greatest number.
TEST(OddPeerMessage, ClaimedIncidentsTakeNoMemory) {
  direct::CrashSuspects suspects({});
  suspects.onPeerReports({{{Signature, UINT32_MAX, {{7, 0}}, 0}}, {}, {}, {}},
                         Now);
  EXPECT_GE(suspects.incidents(Signature), 2U);
  EXPECT_LE(suspects.incidents(Signature), 64U);
}

/// Guards against a quarantine that ends before it began, whose remaining time
/// overflows.
TEST(OddPeerMessage, NegativeTimeQuarantinesNothing) {
  for (int64_t left : {int64_t{-1}, std::numeric_limits<int64_t>::min()}) {
    direct::CrashSuspects suspects({});
    EXPECT_TRUE(
        suspects
            .onPeerReports({{{Signature, 3, {{7, 0}}, left}}, {}, {}, {}}, Now)
            .empty())
        << left;
    EXPECT_TRUE(suspects.quarantined(Now).empty());
  }
}

/// Guards against a rate that is no number, or is negative, in one entry's
/// report, by which all organisations count as above their fair share.
TEST(OddPeerMessage, RatesThatAreNoRatesChangeNoShare) {
  constexpr float NoNumber = std::numeric_limits<float>::quiet_NaN();
  constexpr float Infinite = std::numeric_limits<float>::infinity();
  using admission::AdmissionOutcome;
  using admission::OrganisationUse;
  for (const OrganisationUse &odd :
       {OrganisationUse{"odd", 500'000, 0, true, -1e30F, 0, {}},
        OrganisationUse{"odd", 500'000, 0, true, NoNumber, 0, {}},
        OrganisationUse{"odd", 500'000, 0, true, 0, -Infinite, {}},
        OrganisationUse{
            "odd", 500'000, 0, true, 0, 0, {{1, NoNumber}, {2, Infinite}}},
        OrganisationUse{"odd", 500'000, 0, true, 0, 0, {{1, -1e30F}}}}) {
    admission::OrganisationShares shares({});
    for (int i = 0; i < 100; ++i)
      shares.onDecision("engines", "large", 1000,
                        i % 2 == 0 ? AdmissionOutcome::Admitted
                                   : AdmissionOutcome::Refused,
                        Now);
    for (int i = 0; i < 10; ++i)
      shares.onDecision("engines", "small", 1000, AdmissionOutcome::Admitted,
                        Now);
    OrganisationUse report = odd;
    report.Service = shares.takeReports("e", 1, Now).front().Service;
    shares.onPeerReport(report, Now);
    EXPECT_DOUBLE_EQ(shares.factor("engines", "large", Now), 0.75);
    EXPECT_EQ(shares.factor("engines", "small", Now), 1);
  }
}

/// Guards against a loan of more requests than were asked for, by which the
/// time between two requests is divided by zero.
TEST(OddPeerMessage, LoansCountOnlyForWhatWasAskedFor) {
  const Endpoint own{"10.0.0.1", 7000};
  direct::Catalog catalog;
  catalog.Registered[own] = 1;
  catalog.Registered[{"10.0.0.2", 7000}] = 1;
  direct::BackendServer server;
  server.Id = "s";
  balancing::QuotaBound bound;
  bound.Requests = 20;
  bound.Window = 1s;
  bound.IsPaced = true;
  balancing::SharedQuota quota(own, Now - 10s, true);
  TimePoint now = Now;
  for (int i = 0; i < 20; ++i, now += 30ms)
    quota.tryAcquire(server, bound, catalog, now);
  auto requests = quota.takeLoanRequests(catalog, 3, now);
  ASSERT_EQ(requests.size(), 1U);
  const balancing::QuotaLoanRequest &wish = requests[0].Message;
  EXPECT_LE(
      quota.onLoan({wish.ServerKey, wish.BoundId, 0x80000000, wish.Nonce}, now),
      wish.Wanted);
  EXPECT_TRUE(quota.availableAt(server, bound, catalog, now));
}

class OddOfferTest : public testing::Test {
protected:
  /// Makes the calls that are due, which get no part, for some time.
  void failCalls() {
    for (int i = 0; i < 40; ++i, At += 100ms)
      while (std::optional<direct::RecordPartCall> call = Fetch.next(At)) {
        Error reason;
        Fetch.onPart({call->Request.Key, 0, 0, 0, 0, 0, {}}, At, reason);
      }
  }

  TimePoint At = Now;
  const Endpoint Odd{"10.0.0.1", 80};
  const Endpoint Good{"10.0.0.2", 80};
  direct::RecordFetch Fetch{
      {},
      {[](auto, auto) { return nullptr; }, [](auto) { return uint64_t{0}; }}};
};

/// Guards against a record that is never received again after one entry has
/// offered a revision of it that nobody has.
TEST_F(OddOfferTest, RevisionThatNobodyHasDoesNotHideTheOthers) {
  EXPECT_TRUE(Fetch.onOffer({"config", UINT64_MAX}, Odd, At));
  failCalls();
  EXPECT_TRUE(Fetch.onOffer({"config", 2}, Good, At));
  std::optional<direct::RecordPartCall> call = Fetch.next(At + 1s);
  ASSERT_TRUE(call);
  EXPECT_EQ(call->Source, Good);
  EXPECT_EQ(call->Request.Revision, 2U);
}

/// Guards against an entry that counts as behind for good, and remembers each
/// offer, after another one has offered records that nobody has.
TEST_F(OddOfferTest, RecordsThatNobodyHasAreForgotten) {
  for (int i = 0; i < 10'000; ++i)
    EXPECT_TRUE(Fetch.onOffer({"k" + std::to_string(i), 5}, Odd, At));
  EXPECT_LE(Fetch.pendingCount(), 64U);
  for (int i = 0; i < 200; ++i)
    failCalls();
  EXPECT_FALSE(Fetch.behindSince());
}

/// Guards against parts of many records, of which none becomes whole, that fill
/// the memory.
TEST_F(OddOfferTest, PartsOfManyRecordsTakeLittleMemory) {
  constexpr size_t Records = 40;
  for (size_t i = 0; i < Records; ++i)
    Fetch.onOffer({"k" + std::to_string(i), 5}, Odd, At);
  // Each source gives a megabyte of 8, and then nothing for some time.
  for (size_t i = 0; i < 2 * Records; ++i, At += 1ms) {
    std::optional<direct::RecordPartCall> call = Fetch.next(At);
    if (!call)
      continue;
    Error reason;
    const direct::RecordPartRequest &request = call->Request;
    Fetch.onPart({request.Key, request.Revision, 0, request.Offset, 8U << 20U,
                  1, std::string(1U << 20U, 'x')},
                 At, reason);
    EXPECT_FALSE(reason) << reason.Detail;
    if (Fetch.next(At))
      Fetch.onFailure(At);
  }
  At += 1s;
  size_t kept = 0;
  for (size_t i = 0; i < Records; ++i)
    if (std::optional<direct::RecordPartCall> call = Fetch.next(At)) {
      kept += call->Request.Offset;
      Fetch.onFailure(At);
    }
  EXPECT_LE(kept, 17U << 20U);
}

} // namespace
} // namespace daisytack
