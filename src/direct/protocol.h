/// The interface between the direct path and the protocol adapter, which
/// defines the names and formats that callers, backend servers, stores of kept
/// context and the key-value service use. The functions have no state and make
/// no decisions.
#pragma once

#include "direct/catalog.h"
#include "direct/exchange.h"
#include "direct/kept_context.h"
#include "direct/software_versions.h"
#include "direct/stream_origins.h"
#include "direct/weight_order.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::direct {

struct Protocol {
  // Requests.
  /// Decodes a caller's request; empty, with the reason, if it is malformed.
  std::function<std::optional<CallerHead>(const net::HttpRequest &,
                                          Error &reason)>
      ReadCallerHead;
  /// The API key of a caller's request, as in CallerHead::ApiKey.
  std::function<std::string_view(const net::HttpRequest &)> ReadApiKey;
  /// Encodes the request that an attempt sends to its server. Attempts share
  /// the body.
  std::function<net::HttpRequest(const CallerHead &, const AttemptOrder &,
                                 std::shared_ptr<const std::string> body)>
      WriteAttempt;
  /// Decodes the head of a server's answer.
  std::function<ServerHead(unsigned status,
                           const std::vector<net::HttpHeader> &)>
      ReadServerHead;
  /// Id of the request that an answer with these headers names; nullopt if it
  /// names none.
  std::function<std::optional<std::string>(
      const std::vector<net::HttpHeader> &)>
      ReadAnsweredId;
  /// Encodes an error answer that the entry itself gives to a caller.
  std::function<net::HttpResponse(unsigned status, const std::string &requestId,
                                  const Error &)>
      WriteErrorAnswer;

  // The key-value service.
  /// The kind and id of the object that a key stands for.
  std::function<RecordSubject(std::string_view key)> SubjectOf;
  /// Decodes a stored record; empty, with the reason, if it is malformed.
  std::function<std::optional<RecordValue>(const StoreRecord &, Error &reason)>
      DecodeRecord;
  // The keys and values of records that entries write.
  std::function<std::string(std::string_view entry)> EntryKey;
  std::function<std::string(const EntryPeer &)> EncodeEntry;
  std::function<std::string(const Endpoint &peer)> RegistrationKey;
  std::function<std::string(const EntryRegistration &)> EncodeRegistration;
  std::string HolderKey; ///< Key of the record of the order lease.
  std::function<std::string(const OrderLeaseHolder &)> EncodeHolder;
  std::string RetiredKey; ///< Key of the list of all retired context.
  std::function<std::string(const RetiredContext &)> EncodeRetired;
  std::string RolloutTimesKey; ///< Key of the times of desired versions.
  std::function<std::string(const RolloutTimesRecord &)> EncodeRolloutTimes;
  std::string SettledEpochsKey; ///< Key of the epochs of context stores.
  std::function<std::string(const SettledEpochsRecord &)> EncodeSettledEpochs;
  /// Key of the software versions that entries have seen. The catalog ignores
  /// it.
  std::string StreamOriginsPrefix; ///< Of the keys of origins of streams.
  std::function<std::string(const std::vector<StreamsBegan> &)>
      EncodeStreamOrigins;
  /// nullopt if the value is malformed.
  std::function<std::optional<std::vector<StreamsBegan>>(
      std::string_view value)>
      DecodeStreamOrigins;
  std::string SoftwareVersionsKey;
  std::function<std::string(const SoftwareVersionsRecord &)>
      EncodeSoftwareVersions;
  /// Empty if the value is malformed.
  std::function<std::optional<SoftwareVersionsRecord>(std::string_view value)>
      DecodeSoftwareVersions;
  std::function<std::string(const Id128 &signature)> QuarantineKey;
  std::function<std::string(const QuarantineRecord &)> EncodeQuarantine;

  // Stores of kept context and engines.
  /// Request to a store for its changes from number `since` on. The store waits
  /// for up to `wait` if there are none yet.
  std::function<net::HttpRequest(uint64_t since, Duration wait)> ChangesRequest;
  std::function<std::optional<PartChanges>(std::string_view body,
                                           uint64_t since)>
      ReadChanges;
  /// Request to a store for all parts that it holds.
  std::function<net::HttpRequest()> ListRequest;
  std::function<std::optional<PartList>(std::string_view body)> ReadList;
  /// Request to a store to free parts if it is still in the epoch and, by the
  /// servers' clock, `until` (Unix milliseconds) has not passed; empty: no time
  /// limit.
  std::function<net::HttpRequest(const std::vector<PartRef> &, uint64_t epoch,
                                 std::optional<int64_t> until)>
      FreeRequest;
  /// Order to an engine to load a version of a model's weights.
  std::function<net::HttpRequest(const WeightOrder &)> OrderRequest;
  /// Request to an engine for its report.
  std::function<net::HttpRequest()> ReportRequest;
  std::function<std::optional<EngineReport>(std::string_view body)> ReadReport;
};

} // namespace daisytack::direct
