/// In-process fakes of the platform's key-value service and instance list with
/// fault injection. Not thread-safe; callbacks run within the call.
#pragma once

#include "edge/instance_list.h"
#include "edge/kv.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace daisytack::control {

class FakeKv {
public:
  bool Down = false;
  int LoseAnswers = 0; ///< Number of writes to apply without an answer.
  uint64_t ClusterId = 7;
  uint64_t Revision = 1;
  uint64_t Calls = 0;
  std::map<std::string, edge::KvEntry> Entries;

  void put(const std::string &key, const std::string &value) {
    edge::KvEntry &entry = Entries[key];
    ++Revision;
    if (entry.CreateRevision == 0)
      entry.CreateRevision = Revision;
    entry.Key = key;
    entry.Value = value;
    entry.ModRevision = Revision;
    ++entry.Version;
    if (!Down)
      for (const Watch &watch : Watches)
        if (watch.Begin <= key && key < watch.End)
          watch.Hooks.Changed(header(edge::KvStatus::Ok), {{entry, false}});
  }

  void cutWatches() {
    std::vector<Watch> cut;
    cut.swap(Watches);
    for (const Watch &watch : cut)
      watch.Hooks.Ended(header(edge::KvStatus::Unavailable), 0);
  }

  edge::KvStore hooks() {
    edge::KvStore out;
    out.Range = [this](const edge::KvRange &r, Duration, auto done) {
      done(range(r));
    };
    out.Commit = [this](const edge::KvTransaction &t, Duration, auto done) {
      done(commit(t));
    };
    out.Watch = [this](const std::string &begin, const std::string &end,
                       uint64_t from, edge::KvWatchHooks hooks) {
      watch(begin, end, from, std::move(hooks));
      return [] {};
    };
    return out;
  }

private:
  struct Watch {
    std::string Begin;
    std::string End;
    edge::KvWatchHooks Hooks;
  };

  edge::KvHeader header(edge::KvStatus status) const {
    Error reason;
    if (status == edge::KvStatus::Unavailable)
      reason = {ErrorKind::ServiceUnavailable, "fake service is down"};
    if (status == edge::KvStatus::Unknown)
      reason = {ErrorKind::ServiceUnknown, "fake service lost the answer"};
    return {status, reason, ClusterId, Revision};
  }

  edge::KvRangeResult range(const edge::KvRange &range) {
    ++Calls;
    edge::KvRangeResult out;
    out.Header =
        header(Down ? edge::KvStatus::Unavailable : edge::KvStatus::Ok);
    if (Down)
      return out;
    std::string end = range.End.empty() ? range.Begin + '\0' : range.End;
    for (const auto &[key, entry] : Entries)
      if (range.Begin <= key && key < end &&
          entry.ModRevision >= range.MinModRevision)
        out.Entries.push_back(entry);
    return out;
  }

  edge::KvTransactionResult commit(const edge::KvTransaction &transaction) {
    ++Calls;
    edge::KvTransactionResult out;
    if (Down) {
      out.Header = header(edge::KvStatus::Unavailable);
      return out;
    }
    bool holds = std::all_of(
        transaction.If.begin(), transaction.If.end(), [&](const auto &compare) {
          return Entries[compare.Key].ModRevision == compare.Number;
        });
    if (holds)
      for (const edge::KvWrite &write : transaction.Then)
        put(write.Key, write.Value);
    else
      for (const std::string &key : transaction.ReadOnFailure)
        out.Current.push_back(Entries[key]);
    out.Header =
        header(holds ? edge::KvStatus::Ok : edge::KvStatus::CompareFailed);
    if (LoseAnswers > 0 && LoseAnswers-- > 0)
      out.Header = header(edge::KvStatus::Unknown);
    return out;
  }

  void watch(const std::string &begin, const std::string &end, uint64_t from,
             edge::KvWatchHooks hooks) {
    ++Calls;
    if (Down)
      return hooks.Ended(header(edge::KvStatus::Unavailable), 0);
    std::vector<edge::KvChange> missed;
    for (const auto &[key, entry] : Entries)
      if (begin <= key && key < end && entry.ModRevision >= from)
        missed.push_back({entry, false});
    std::sort(missed.begin(), missed.end(), [](const auto &a, const auto &b) {
      return a.Entry.ModRevision < b.Entry.ModRevision;
    });
    if (!missed.empty())
      hooks.Changed(header(edge::KvStatus::Ok), missed);
    Watches.push_back({begin, end, std::move(hooks)});
  }

  std::vector<Watch> Watches;
};

class FakeList {
public:
  bool Down = false;
  uint64_t Version = 0;
  uint64_t Calls = 0;
  std::map<std::string, ListedMember> Members;

  void set(Member member) {
    ++Version;
    std::string name = member.Name;
    Members[name] = {std::move(member), Version};
  }

  edge::InstanceList hooks() {
    edge::InstanceList out;
    out.Poll = [this](uint64_t since, Duration, auto done) {
      ++Calls;
      edge::InstanceListResult result;
      result.Delta.Version = Version;
      if (Down)
        result.Reason = {ErrorKind::ServiceUnavailable, "fake list is down"};
      for (const auto &[name, listed] : Members)
        if (!Down && listed.Changed > since)
          result.Delta.Members.push_back(listed);
      done(std::move(result));
    };
    return out;
  }
};

} // namespace daisytack::control
