#include "control/force_gather.h"

#include <algorithm>

namespace daisytack::control {

namespace {

constexpr Duration RoundInterval{300'000};

} // namespace

ForceGather::ForceGather(const std::map<std::string, Member> &members,
                         const std::string &self, uint64_t revision,
                         TimePoint until, const RandomSource &random)
    : Revision(revision), Until(until) {
  std::vector<const Member *> others;
  for (const auto &[name, member] : members) {
    if (member.State != MemberState::Live)
      continue;
    ++Members;
    if (name != self)
      others.push_back(&member);
  }
  size_t asked = std::min(others.size(), MaxAsked);
  for (size_t i = 0; i < asked; ++i) {
    std::swap(others[i], others[i + random() % (others.size() - i)]);
    Targets[random()] = {others[i]->Name, others[i]->Peer, false};
  }
}

std::vector<ForceGather::Probe> ForceGather::onTick(TimePoint now) {
  std::vector<Probe> out;
  if (now < NextRound)
    return out;
  NextRound = now + RoundInterval;
  for (const auto &[nonce, target] : Targets)
    if (!target.InForce)
      out.push_back({target.Peer, {nonce}});
  return out;
}

void ForceGather::onAnswer(const ForceAnswer &answer) {
  auto it = Targets.find(answer.Nonce);
  if (it != Targets.end() && answer.ConfigRevision >= Revision)
    it->second.InForce = true;
}

bool ForceGather::isOver(TimePoint now) const {
  return now >= Until ||
         std::all_of(Targets.begin(), Targets.end(),
                     [](const auto &row) { return row.second.InForce; });
}

ForceReport ForceGather::report(uint64_t own) const {
  ForceReport out;
  out.Members = Members;
  out.Asked = Targets.size() + 1;
  out.InForce = own >= Revision ? 1 : 0;
  for (const auto &[nonce, target] : Targets) {
    if (target.InForce)
      ++out.InForce;
    else if (out.Missing.size() < MaxMissing)
      out.Missing.push_back(target.Name);
  }
  return out;
}

} // namespace daisytack::control
