#include "decide/release.h"

#include <algorithm>

namespace daisytack {

namespace {

/// Release time of the class with the name; nullopt if the class has none or is
/// not configured, so that its answers are due at once.
std::optional<WallTime> releaseTimeOf(const std::vector<RequestClass> &classes,
                                      const std::string &name) {
  for (const RequestClass &it : classes)
    if (it.Name == name)
      return it.ReleaseAt;
  return std::nullopt;
}

} // namespace

ReleaseDecision decideRelease(const RequestClass &requestClass, WallTime now) {
  if (!requestClass.ReleaseAt)
    return {};
  WallTime at = *requestClass.ReleaseAt;
  if (at <= now)
    return {ReleaseStep::SendLate, at, now - at};
  return {ReleaseStep::HoldUntil, at, Duration{0}};
}

Error checkRelease(const RequestClass &requestClass, Duration remaining,
                   WallTime now) {
  Error out;
  if (requestClass.ReleaseAt && *requestClass.ReleaseAt > now + remaining) {
    out.Kind = ErrorKind::DeadlineTooShort;
    out.Detail = "class " + requestClass.Name +
                 " is released after the request's deadline";
  }
  return out;
}

void ReleaseQueue::hold(const HeldAnswer &answer) {
  ByClass[answer.Class].push_back(answer);
}

bool ReleaseQueue::forget(const RequestId &id) {
  for (auto it = ByClass.begin(); it != ByClass.end(); ++it) {
    size_t n = std::erase_if(
        it->second, [&](const HeldAnswer &held) { return held.Id == id; });
    if (n == 0)
      continue;
    if (it->second.empty())
      ByClass.erase(it);
    return true;
  }
  return false;
}

std::vector<HeldAnswer>
ReleaseQueue::takeDue(const std::vector<RequestClass> &classes, WallTime now) {
  std::vector<HeldAnswer> out;
  for (auto it = ByClass.begin(); it != ByClass.end();) {
    std::optional<WallTime> at = releaseTimeOf(classes, it->first);
    if (at && *at > now) {
      ++it;
      continue;
    }
    out.insert(out.end(), it->second.begin(), it->second.end());
    it = ByClass.erase(it);
  }
  return out;
}

std::optional<WallTime>
ReleaseQueue::nextDue(const std::vector<RequestClass> &classes) const {
  std::optional<WallTime> out;
  for (const auto &[name, answers] : ByClass) {
    WallTime at = releaseTimeOf(classes, name).value_or(WallTime{});
    if (!out || at < *out)
      out = at;
  }
  return out;
}

size_t ReleaseQueue::held() const {
  size_t n = 0;
  for (const auto &[name, answers] : ByClass)
    n += answers.size();
  return n;
}

} // namespace daisytack
