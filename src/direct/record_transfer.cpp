#include "direct/record_transfer.h"

#include "base/delta.h"
#include "daisytack/limits.h"
#include "direct/rendezvous.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

namespace {

/// Takes a slow link of 10 Mbit/s 26 ms, so that a call of each of two dozen
/// receivers ends within its timeout.
constexpr size_t PartBytes = 32U << 10;
/// Sources that are remembered for one record.
constexpr size_t MaxSources = 8;
/// Longest key of a record that is requested, in bytes.
constexpr size_t MaxKeyBytes = 4096;
/// Keys whose received revisions are remembered.
constexpr size_t MaxSettled = 1024;

} // namespace

RecordPart RecordSource::answer(const RecordPartRequest &request) {
  RecordPart out;
  out.Key = request.Key;
  const std::string *value = Held.ValueAt(request.Key, request.Revision);
  if (!value) {
    out.Revision = Held.RevisionOf(request.Key);
    return out;
  }
  const Encoding &encoding = encode(request, *value);
  out.Revision = request.Revision;
  out.BaseRevision = encoding.BaseRevision;
  out.Offset = request.Offset;
  out.Size = encoding.Bytes.size();
  out.Digest = encoding.Digest;
  if (request.Offset < encoding.Bytes.size())
    out.Bytes = encoding.Bytes.substr(request.Offset, PartBytes);
  return out;
}

const RecordSource::Encoding &
RecordSource::encode(const RecordPartRequest &request,
                     const std::string &value) {
  const std::string *base =
      request.BaseRevision == 0
          ? nullptr
          : Held.ValueAt(request.Key, request.BaseRevision);
  uint64_t baseRevision = base ? request.BaseRevision : 0;
  auto it =
      std::find_if(Recent.begin(), Recent.end(), [&](const Encoding &known) {
        return known.Key == request.Key && known.Revision == request.Revision &&
               known.BaseRevision == baseRevision;
      });
  if (it != Recent.end())
    return *it;
  std::string bytes = compressDelta(value, base ? std::string_view(*base) : "");
  uint64_t digest = stableHash(bytes);
  if (Recent.size() == MaxEncodings)
    Recent.pop_front();
  Recent.push_back(
      {request.Key, request.Revision, baseRevision, digest, std::move(bytes)});
  return Recent.back();
}

uint64_t RecordFetch::settledRevision(const std::string &key) const {
  auto it = Settled.find(key);
  return it == Settled.end() ? 0 : it->second;
}

bool RecordFetch::onOffer(const RecordOffer &offer, const Endpoint &source,
                          TimePoint now) {
  bool isHeld = offer.Revision <= Held.RevisionOf(offer.Key) ||
                offer.Revision <= settledRevision(offer.Key);
  if (isHeld || offer.Key.size() > MaxKeyBytes)
    return false;
  if (Pending.size() >= Settings.MaxTransfers && !Pending.contains(offer.Key))
    return true;
  auto [it, isNew] = Pending.try_emplace(offer.Key);
  Transfer &transfer = it->second;
  transfer.OfferedAt = now;
  if (isNew) {
    transfer.Since = now;
    transfer.ProgressAt = now;
  }
  // What earlier sources offered may be older than this. Nobody has what they
  // offered if none of them is left.
  if (offer.Revision > transfer.NewestRevision || transfer.Sources.empty()) {
    transfer.NewestRevision = offer.Revision;
    transfer.IsDamaged = false;
    transfer.Sources.clear();
  }
  bool isKnown = std::find(transfer.Sources.begin(), transfer.Sources.end(),
                           source) != transfer.Sources.end();
  if (!isKnown && transfer.Sources.size() < MaxSources)
    transfer.Sources.push_back(source);
  return true;
}

void RecordFetch::begin(const std::string &key, Transfer &transfer) {
  transfer.Revision = transfer.NewestRevision;
  transfer.HeldRevision = 0;
  transfer.HeldValue.clear();
  uint64_t revision = transfer.IsBaseRefused ? 0 : Held.RevisionOf(key);
  if (const std::string *value = Held.ValueAt(key, revision)) {
    transfer.HeldRevision = revision;
    transfer.HeldValue = *value;
  }
}

std::optional<RecordPartCall> RecordFetch::next(TimePoint now) {
  if (CalledKey)
    return std::nullopt;
  std::erase_if(Pending, [&](const auto &it) {
    const Transfer &transfer = it.second;
    bool isGivenUp = transfer.Sources.empty() &&
                     now >= transfer.OfferedAt + Settings.OfferRetention;
    return isGivenUp || transfer.NewestRevision <= Held.RevisionOf(it.first);
  });
  for (auto &[key, transfer] : Pending) {
    if (transfer.Sources.empty() || now < transfer.NextCallAt)
      continue;
    // Parts of other records are kept only as long as they take little memory.
    size_t bytes = 0;
    for (const auto &it : Pending)
      bytes += it.second.Received.size();
    if (bytes > MaxFrameBytes)
      for (auto &it : Pending)
        if (it.first != key)
          std::exchange(it.second.Received, {});
    if (transfer.Received.empty())
      begin(key, transfer);
    CalledKey = key;
    uint32_t doublings = static_cast<uint32_t>(
        std::min<size_t>(transfer.Failures / transfer.Sources.size(), 8));
    return RecordPartCall{
        transfer.Sources.front(),
        {key, transfer.Revision, transfer.HeldRevision,
         transfer.Received.size()},
        std::min<Duration>(Settings.PartTimeout * (1LL << doublings),
                           Settings.MaxPartTimeout)};
  }
  return std::nullopt;
}

bool RecordFetch::accept(Transfer &transfer, const RecordPart &part,
                         Error &reason) {
  bool isFirst = transfer.Received.empty();
  bool isValid =
      !part.Bytes.empty() && part.Size <= MaxFrameBytes &&
      part.Offset == transfer.Received.size() &&
      part.Bytes.size() <= part.Size - part.Offset &&
      (part.BaseRevision == 0 || part.BaseRevision == transfer.HeldRevision);
  bool isSame =
      isFirst || (part.BaseRevision == transfer.BaseRevision &&
                  part.Size == transfer.Size && part.Digest == transfer.Digest);
  if (!isValid || !isSame) {
    reason = {ErrorKind::ProtocolError,
              "a part does not fit the ones before it"};
    transfer.Received.clear();
    return false;
  }
  transfer.BaseRevision = part.BaseRevision;
  transfer.Size = part.Size;
  transfer.Digest = part.Digest;
  transfer.Received += part.Bytes;
  return true;
}

std::optional<FetchedRecord> RecordFetch::onPart(RecordPart part, TimePoint now,
                                                 Error &reason) {
  auto it = CalledKey ? Pending.find(*CalledKey) : Pending.end();
  CalledKey.reset();
  if (it == Pending.end())
    return std::nullopt;
  Transfer &transfer = it->second;
  if (part.Key != it->first || part.Revision != transfer.Revision) {
    transfer.Received.clear();
    // The source has replaced the revision; the newer one is next.
    bool isReplaced = part.Key == it->first &&
                      part.Revision > transfer.Revision &&
                      part.Revision >= transfer.NewestRevision;
    if (isReplaced) {
      transfer.NewestRevision = part.Revision;
      return std::nullopt;
    }
    reason = {ErrorKind::ProtocolError, "the source does not have the record"};
    retry(it, now);
    return std::nullopt;
  }
  if (!accept(transfer, part, reason)) {
    retry(it, now);
    return std::nullopt;
  }
  transfer.ProgressAt = now;
  transfer.Failures = 0;
  if (transfer.Received.size() < transfer.Size)
    return std::nullopt;
  return complete(it, now, reason);
}

std::optional<FetchedRecord>
RecordFetch::complete(Transfers::iterator it, TimePoint now, Error &reason) {
  Transfer &transfer = it->second;
  std::string encoded = std::exchange(transfer.Received, {});
  std::string_view base = transfer.BaseRevision == 0
                              ? std::string_view()
                              : std::string_view(transfer.HeldValue);
  std::optional<std::string> value =
      decompressDelta(encoded, base, MaxFrameBytes, reason);
  if (!value) {
    transfer.IsDamaged = transfer.BaseRevision == 0;
    transfer.IsBaseRefused = true;
    retry(it, now);
    return std::nullopt;
  }
  FetchedRecord out;
  out.Record = {it->first, std::move(*value), transfer.Revision, false};
  out.BaseRevision = transfer.BaseRevision;
  out.Bytes = encoded.size();
  out.Took = now - transfer.Since;
  if (Settled.size() >= MaxSettled)
    Settled.clear(); // A record that comes twice does no harm.
  Settled[it->first] = transfer.Revision;
  if (transfer.NewestRevision <= transfer.Revision)
    Pending.erase(it);
  return out;
}

void RecordFetch::retry(Transfers::iterator it, TimePoint now) {
  Transfer &transfer = it->second;
  ++transfer.Failures;
  transfer.NextCallAt = now + Settings.RetryPause;
  if (transfer.Failures >
      Settings.MaxFailuresPerSource * transfer.Sources.size()) {
    transfer.Sources.clear();
    transfer.Failures = 0;
    return;
  }
  transfer.Sources.push_back(transfer.Sources.front());
  transfer.Sources.pop_front();
}

void RecordFetch::onFailure(TimePoint now) {
  auto it = CalledKey ? Pending.find(*CalledKey) : Pending.end();
  CalledKey.reset();
  if (it != Pending.end())
    retry(it, now);
}

bool RecordFetch::isProgressing(TimePoint now) const {
  return std::any_of(Pending.begin(), Pending.end(), [&](const auto &it) {
    const Transfer &transfer = it.second;
    return !transfer.IsDamaged &&
           now < transfer.ProgressAt + Settings.StallTime;
  });
}

std::optional<TimePoint> RecordFetch::behindSince() const {
  std::optional<TimePoint> out;
  for (const auto &[key, transfer] : Pending)
    out = std::min(out.value_or(transfer.Since), transfer.Since);
  return out;
}

} // namespace daisytack::direct
