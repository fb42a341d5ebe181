#include "entry_options.h"

#include "base/digest.h"
#include "context/piece_key.h"

#include <chrono>

namespace daisytack::entry {

using namespace std::chrono_literals;

namespace {

constexpr int64_t MaxRequestsLimit = 1'000'000;

void readCallers(Settings &settings, EntryOptions &out) {
  out.Callers.Listen = out.Instance.Control.Self.Work;
  out.Callers.MaxHeaderBytes = settings.bytes(
      "callers.max_header_bytes", MaxHttpHeaderBytes, 1024, 1U << 20);
  out.Callers.MaxBodyBytes = settings.bytes(
      "callers.max_body_bytes", MaxHttpBodyBytes, 1024, MaxFrameBytes / 2);
  out.Callers.MaxPendingBytes =
      settings.bytes("callers.max_pending_bytes", 1U << 20, 4096, 1U << 30);
  out.Callers.ReadTimeout =
      settings.duration("callers.read_timeout", 10s, 100ms, 10min);
  out.Callers.IdleTimeout =
      settings.duration("callers.idle_timeout", 60s, 1s, 1h);
  out.MaxRequests = static_cast<size_t>(
      settings.integer("callers.max_requests", 50'000, 1, MaxRequestsLimit));
}

void readRequests(Settings &settings, EntryOptions &out) {
  out.Flow.OfferTimeout = settings.duration("requests.offer_patience",
                                            out.Flow.OfferTimeout, 1ms, 1min);
  out.Flow.HedgeMargin = settings.duration("requests.hedge_margin",
                                           out.Flow.HedgeMargin, 1ms, 1min);
  out.Flow.StallTimeout = settings.duration("requests.stall_patience",
                                            out.Flow.StallTimeout, 1ms, 1h);
  out.Flow.ResumeGrace = settings.duration("requests.resume_grace",
                                           out.Flow.ResumeGrace, 0s, 10min);
  out.Limits.DefaultMaxTokens = static_cast<uint32_t>(settings.integer(
      "requests.default_max_tokens", out.Limits.DefaultMaxTokens, 1, 1 << 20));
  out.Limits.MaxTokens = static_cast<uint32_t>(settings.integer(
      "requests.max_tokens", out.Limits.MaxTokens, 1, 1 << 24));
  out.Retries.Share =
      settings.number("requests.retry_share", out.Retries.Share, 0, 1);
  out.BindingsPerSecond = settings.number("requests.bindings_per_second",
                                          out.BindingsPerSecond, 0.1, 1000);
  out.Router.HomeReuse =
      settings.number("requests.home_reuse", out.Router.HomeReuse, 0, 1);
}

} // namespace

EntryOptions readEntryOptions(Settings &settings) {
  EntryOptions out;
  out.Instance = runtime::readInstanceSettings(settings, MemberRole::Entry);
  out.Instance.Control.Process = randomId(secureRandom);
  out.DrainNotice =
      settings.duration("entry.drain_notice", out.DrainNotice, 0s, 1min);
  out.Secret = settings.secret("context.secret", std::nullopt);
  if (settings.has("context.secret") && out.Secret.size() < MinPieceSecretBytes)
    settings.reject("context.secret",
                    "use at least " + std::to_string(MinPieceSecretBytes) +
                        " bytes, the same in the whole deployment");
  out.ConnectTimeout = settings.duration("agents.connect_timeout",
                                         out.ConnectTimeout, 1ms, 1min);
  out.LinkIdleTimeout =
      settings.duration("agents.idle_timeout", out.LinkIdleTimeout, 1s, 24h);
  out.Operators =
      runtime::readOperatorSettings(settings, out.Instance.Control.Self.Peer);
  readCallers(settings, out);
  readRequests(settings, out);
  return out;
}

} // namespace daisytack::entry
