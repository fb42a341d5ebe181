#include "control/rollout_check.h"

#include <algorithm>

namespace daisytack::control {

namespace {

constexpr Duration ProbeInterval{300'000};

} // namespace

RolloutCheck::RolloutCheck(const std::map<std::string, Member> &members,
                           const std::string &self, uint64_t revision,
                           TimePoint deadline, const RandomSource &random)
    : Revision(revision), Deadline(deadline) {
  std::vector<const Member *> others;
  for (const auto &[name, member] : members) {
    if (member.State != MemberState::Live)
      continue;
    ++Members;
    if (name != self)
      others.push_back(&member);
  }
  size_t sampled = std::min(others.size(), MaxSampled);
  for (size_t i = 0; i < sampled; ++i) {
    std::swap(others[i], others[i + random() % (others.size() - i)]);
    Targets[random()] = {others[i]->Name, others[i]->Peer, false};
  }
}

std::vector<RolloutCheck::Probe> RolloutCheck::onTick(TimePoint now) {
  std::vector<Probe> out;
  if (now < NextProbe)
    return out;
  NextProbe = now + ProbeInterval;
  for (const auto &[nonce, target] : Targets)
    if (!target.IsUpdated)
      out.push_back({target.Peer, {nonce}});
  return out;
}

void RolloutCheck::onAnswer(const RevisionAnswer &answer) {
  auto it = Targets.find(answer.Nonce);
  if (it != Targets.end() && answer.ConfigRevision >= Revision)
    it->second.IsUpdated = true;
}

bool RolloutCheck::isOver(TimePoint now) const {
  return now >= Deadline ||
         std::all_of(Targets.begin(), Targets.end(),
                     [](const auto &row) { return row.second.IsUpdated; });
}

RolloutReport RolloutCheck::report(uint64_t ownRevision) const {
  RolloutReport out;
  out.Members = Members;
  out.Sampled = Targets.size() + 1;
  out.Updated = ownRevision >= Revision ? 1 : 0;
  for (const auto &[nonce, target] : Targets) {
    if (target.IsUpdated)
      ++out.Updated;
    else if (out.Missing.size() < MaxMissing)
      out.Missing.push_back(target.Name);
  }
  return out;
}

} // namespace daisytack::control
