/// What the direct path asks of an adapter: the names and formats in which
/// callers, servers, stores of kept context and the key-value service speak.
/// Hooks without state; they decide nothing.
#pragma once

#include "direct/catalog.h"
#include "direct/exchange.h"
#include "direct/kept_context.h"
#include "direct/weight_order.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

struct Protocol {
  // Requests.
  std::function<std::optional<CallerHead>(const net::HttpRequest &,
                                          Error &reason)>
      ReadCallerHead;
  std::function<net::HttpRequest(const CallerHead &, const AttemptOrder &,
                                 std::string body)>
      WriteAttempt;
  std::function<ServerHead(unsigned status,
                           const std::vector<net::HttpHeader> &)>
      ReadServerHead;
  std::function<bool(const CallerHead &, const std::vector<net::HttpHeader> &)>
      IsAnswerTo;
  std::function<net::HttpResponse(unsigned status, const std::string &requestId,
                                  const Error &)>
      WriteErrorAnswer;

  // The key-value service.
  std::function<RecordSubject(std::string_view key)> SubjectOf;
  std::function<std::optional<RecordValue>(const StoreRecord &, Error &reason)>
      DecodeFact;
  std::function<std::string(std::string_view entry)> EntryKey;
  std::function<std::string(const EntryPeer &)> EncodeEntry;
  std::function<std::string(const Endpoint &peer)> RegistrationKey;
  std::function<std::string(const EntryRegistration &)> EncodeRegistration;
  std::string HolderKey; ///< Held by the one entry that gives orders.
  std::function<std::string(const OrderLeaseHolder &)> EncodeHolder;
  std::string RetiredKey; ///< Of all kept context that is retired.
  std::function<std::string(const RetiredContext &)> EncodeRetired;
  std::function<std::string(const Id128 &request)> QuarantineKey;
  std::function<std::string()> EncodeQuarantined;

  // Stores of kept context and engines.
  std::function<net::HttpRequest(uint64_t since, Duration wait)> ChangesRequest;
  std::function<std::optional<PartChanges>(std::string_view body,
                                           uint64_t since)>
      ReadChanges;
  std::function<net::HttpRequest()> ListRequest;
  std::function<std::optional<PartList>(std::string_view body)> ReadList;
  std::function<net::HttpRequest(const std::vector<PartRef> &, uint64_t epoch,
                                 std::optional<int64_t> until)>
      FreeRequest;
  std::function<net::HttpRequest(const WeightOrder &)> OrderRequest;
  std::function<net::HttpRequest()> ReportRequest;
  std::function<std::optional<EngineReport>(std::string_view body)> ReadReport;
};

} // namespace daisytack::direct
