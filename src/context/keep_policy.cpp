#include "context/keep_policy.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace daisytack {

namespace {

constexpr char Separator = ';';
constexpr char Escape = '%';
constexpr std::string_view EscapedSeparator = "%3b";
constexpr std::string_view EscapedEscape = "%25";
constexpr size_t MaxMetaBytes = 512;
constexpr double BytesPerMegabyte = 1e6;
constexpr size_t NumberFields = 6;
/// Lowers the value of later pieces of a prompt, which are useless without the
/// earlier ones.
constexpr double IndexPenalty = 0.01;

std::string escaped(std::string_view text) {
  std::string out;
  for (char c : text) {
    if (c == Separator)
      out.append(EscapedSeparator);
    else if (c == Escape)
      out.append(EscapedEscape);
    else
      out.push_back(c);
  }
  return out;
}

std::optional<std::string> unescaped(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != Escape) {
      out.push_back(text[i]);
      continue;
    }
    std::string_view code = text.substr(i, EscapedEscape.size());
    if (code == EscapedSeparator)
      out.push_back(Separator);
    else if (code == EscapedEscape)
      out.push_back(Escape);
    else
      return std::nullopt;
    i += code.size() - 1;
  }
  return out;
}

std::optional<std::array<int64_t, NumberFields>>
parseNumbers(std::string_view text) {
  std::array<int64_t, NumberFields> out{};
  const char *at = text.data();
  const char *end = at + text.size();
  for (size_t i = 0; i < NumberFields; ++i) {
    auto [next, ec] = std::from_chars(at, end, out[i]);
    bool last = i + 1 == NumberFields;
    if (ec != std::errc() || (last ? next != end : next == end) ||
        (!last && *next != Separator) || out[i] < 0)
      return std::nullopt;
    at = next + 1;
  }
  return out;
}

int64_t micros(WallTime at) { return at.time_since_epoch().count(); }

} // namespace

std::string metaPrefix(std::string_view organisation) {
  return escaped(organisation) + Separator;
}

std::string encodeMeta(const KeptMeta &meta) {
  std::string out = metaPrefix(meta.Organisation);
  auto add = [&](int64_t value) {
    out += std::to_string(value);
    out += Separator;
  };
  add(meta.Index);
  add(meta.Tokens);
  add(meta.Sightings);
  add(meta.Copy);
  add(micros(meta.KeptAt));
  out += std::to_string(micros(meta.ExpiresAt));
  return out;
}

std::optional<KeptMeta> decodeMeta(std::string_view text) {
  auto separator = text.find(Separator);
  if (text.size() > MaxMetaBytes || separator == std::string_view::npos)
    return std::nullopt;
  auto organisation = unescaped(text.substr(0, separator));
  auto numbers = parseNumbers(text.substr(separator + 1));
  if (!organisation || !numbers)
    return std::nullopt;
  KeptMeta out;
  out.Organisation = *organisation;
  out.Index = static_cast<uint32_t>((*numbers)[0]);
  out.Tokens = static_cast<uint32_t>((*numbers)[1]);
  out.Sightings = static_cast<uint32_t>((*numbers)[2]);
  out.Copy = static_cast<uint8_t>((*numbers)[3]);
  out.KeptAt = WallTime(Duration((*numbers)[4]));
  out.ExpiresAt = WallTime(Duration((*numbers)[5]));
  return out;
}

KeepPolicy::KeepPolicy(const KeepSettings &settings, const ReturnModel &returns)
    : Settings(settings), Returns(returns) {}

ExportDecision KeepPolicy::decide(const ExportCandidate &candidate) const {
  if (!candidate.MayReuse || candidate.Rule == KeepRule::Never)
    return {ExportVerdict::NotAllowed, 0};
  bool always = candidate.Rule == KeepRule::Always;
  if (!always && candidate.Before.Count == 0)
    return {ExportVerdict::FirstSighting, 0};
  uint32_t sightings = candidate.Before.Count + 1;
  if (!always && Returns.returnProbability(sightings, Duration(0)) <
                     Settings.MinReturnProbability)
    return {ExportVerdict::UnlikelyToReturn, 0};
  if (candidate.OrganisationBytes + candidate.Bytes > candidate.Quota)
    return {ExportVerdict::OverQuota, 1};
  bool second =
      sightings >= Settings.SecondCopySightings &&
      candidate.StoreUsed < Settings.SecondCopyMaxStoreUsed &&
      candidate.OrganisationBytes + 2 * candidate.Bytes <= candidate.Quota;
  return {ExportVerdict::Export, second ? 2U : 1U};
}

double KeepPolicy::value(const KeptMeta &meta, uint64_t bytes,
                         WallTime now) const {
  if (meta.ExpiresAt <= now)
    return -1;
  Duration age = std::max(Duration(0), now - meta.KeptAt);
  double seconds = meta.Tokens / Settings.PrefillTokensPerSecond;
  double copyWeight = meta.Copy == 0 ? 1 : Settings.SecondCopyWeight;
  double prefixWeight = 1 / (1 + IndexPenalty * meta.Index);
  double megabytes =
      static_cast<double>(std::max<uint64_t>(bytes, 1)) / BytesPerMegabyte;
  return Returns.returnProbability(meta.Sightings, age) * seconds * copyWeight *
         prefixWeight / megabytes;
}

std::vector<SampledPiece>
KeepPolicy::chooseVictims(std::span<const SampledPiece> sample,
                          uint64_t neededBytes, const KeptMeta &incoming,
                          WallTime now,
                          std::string_view onlyOrganisation) const {
  struct Candidate {
    double Value;
    const SampledPiece *Piece;
  };
  double incomingValue = value(incoming, neededBytes, now);
  std::vector<Candidate> candidates;
  for (const SampledPiece &it : sample) {
    auto meta = decodeMeta(it.Meta);
    // A piece with unreadable metadata is evicted like an expired one.
    double pieceValue = meta ? value(*meta, it.Length, now) : -1;
    bool own = meta && meta->Organisation == onlyOrganisation;
    if (pieceValue < incomingValue && (onlyOrganisation.empty() || own))
      candidates.push_back({pieceValue, &it});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate &a, const Candidate &b) {
              return a.Value != b.Value ? a.Value < b.Value
                                        : a.Piece->Key < b.Piece->Key;
            });
  std::vector<SampledPiece> out;
  uint64_t freed = 0;
  for (const Candidate &it : candidates) {
    if (freed >= neededBytes)
      break;
    freed += it.Piece->Length;
    out.push_back(*it.Piece);
  }
  if (freed < neededBytes)
    out.clear();
  return out;
}

} // namespace daisytack
