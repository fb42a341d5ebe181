/// The simulated key-value service.
#include "direct/retirement_world.h"

namespace daisytack::direct::test {

void ModelService::appendHistory(const StoreRecord &record) {
  History.push_back(record);
  ChangedAt.push_back(Now);
}

std::optional<TimePoint> ModelService::changedAfter(uint64_t revision) const {
  for (size_t i = 0; i < History.size(); ++i)
    if (History[i].Revision > revision)
      return ChangedAt[i];
  return std::nullopt;
}

uint64_t ModelService::put(const std::string &key, const std::string &value,
                           std::optional<TimePoint> leaseUntil) {
  Item &item = Items[key];
  ++Revision;
  if (item.Created == 0)
    item.Created = ++LastCreated;
  item.Record = {key, value, Revision, false};
  item.LeaseUntil = leaseUntil;
  appendHistory(item.Record);
  return Revision;
}

void ModelService::remove(const std::string &key) {
  if (Items.erase(key) == 0)
    return;
  appendHistory({key, "", ++Revision, true});
}

void ModelService::setNow(TimePoint now) {
  Now = now;
  if (Snapshots.empty() || now >= Snapshots.back().At + Duration(1'000'000))
    Snapshots.push_back({now, Items, Revision});
}

void ModelService::restore(TimePoint then) {
  while (Snapshots.size() > 1 && Snapshots.back().At > then)
    Snapshots.pop_back();
  uint64_t nextEra = era() + 1;
  for (const auto &[key, item] : Items)
    if (!Snapshots.back().Items.contains(key))
      appendHistory({key, "", nextEra << RevisionBits, true});
  Items = Snapshots.back().Items;
  Revision = monotonicRevision(nextEra, countInEra(Snapshots.back().Revision));
  for (auto &[key, item] : Items) {
    item.Record.Revision =
        monotonicRevision(nextEra, countInEra(item.Record.Revision));
    appendHistory(item.Record);
  }
  Snapshots = {{Now, Items, Revision}};
}

bool ModelService::renewLease(const std::string &key, uint64_t created,
                              TimePoint until) {
  auto it = Items.find(key);
  if (it == Items.end() || it->second.Created != created)
    return false;
  it->second.LeaseUntil = until;
  return true;
}

void ModelService::expireLeases(TimePoint now) {
  std::vector<std::string> gone;
  for (const auto &[key, item] : Items)
    if (item.LeaseUntil && now >= *item.LeaseUntil)
      gone.push_back(key);
  for (const std::string &key : gone)
    remove(key);
}

uint64_t ModelService::revisionOf(const std::string &key) const {
  auto it = Items.find(key);
  return it == Items.end() ? 0 : it->second.Record.Revision;
}

uint64_t ModelService::createdOf(const std::string &key) const {
  auto it = Items.find(key);
  return it == Items.end() ? 0 : it->second.Created;
}

ModelService::Answer ModelService::readAll() const {
  Answer out{{}, Revision};
  for (const auto &[key, item] : Items)
    out.Records.push_back(item.Record);
  return out;
}

ModelService::Answer ModelService::since(uint64_t revision) const {
  Answer out{{}, Revision};
  for (const StoreRecord &record : History)
    if (record.Revision > revision)
      out.Records.push_back(record);
  return out;
}

std::map<std::string, uint64_t> ModelService::keysAt(uint64_t revision) const {
  std::map<std::string, uint64_t> out;
  for (const StoreRecord &record : History) {
    if (record.Revision > revision)
      break;
    if (record.IsDeleted)
      out.erase(record.Key);
    else
      out[record.Key] = record.Revision;
  }
  return out;
}

} // namespace daisytack::direct::test
