#include "net/problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace daisytack::net {

namespace {

/// Converts "deadline_too_short" to "Deadline too short".
std::string titleOf(ErrorKind kind) {
  std::string out(errorName(kind));
  for (char &c : out)
    if (c == '_')
      c = ' ';
  if (!out.empty() && out[0] >= 'a' && out[0] <= 'z')
    out[0] = static_cast<char>(out[0] - 'a' + 'A');
  return out;
}

int64_t secondsRoundedUp(Duration value) {
  constexpr int64_t MicrosPerSecond = 1'000'000;
  return (value.count() + MicrosPerSecond - 1) / MicrosPerSecond;
}

} // namespace

std::string problemJson(const Error &error, Outcome outcome,
                        const RequestId &id) {
  std::string_view name = errorName(error.Kind);
  boost::json::object out;
  out["type"] = "about:blank#" + std::string(name);
  out["title"] = titleOf(error.Kind);
  out["status"] = errorStatus(error.Kind);
  out["kind"] = name;
  out["outcome"] = outcomeName(outcome);
  out["detail"] = error.Detail;
  out["remedy"] = errorRemedy(error.Kind);
  if (id.isValid())
    out["request_id"] = toHex(id);
  return boost::json::serialize(out);
}

HttpResponse problemResponse(const Error &error, Outcome outcome,
                             const RequestId &id) {
  HttpResponse out;
  out.Status = errorStatus(error.Kind);
  out.Headers.push_back({"Content-Type", "application/problem+json"});
  if (error.RetryAfter > Duration::zero())
    out.Headers.push_back(
        {"Retry-After", std::to_string(secondsRoundedUp(error.RetryAfter))});
  if (id.isValid())
    out.Headers.push_back({"X-Daisytack-Request-Id", toHex(id)});
  out.Body = problemJson(error, outcome, id);
  return out;
}

} // namespace daisytack::net
