/// What entries send each other about crashed backend servers.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <vector>

namespace daisytack::direct {

/// An event in the past that concerns a server (by ServerRef::key) or a
/// signature (direct/request_signatures.h), with its age at the time of
/// sending.
template <class Key> struct PastEvent {
  Key Subject{};
  uint32_t AgeMs = 0;
  bool operator==(const PastEvent &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Subject, AgeMs); }
};

/// The evidence of one entry against a signature.
struct CrashReport {
  Id128 Signature;
  /// Number of incidents, each of which began after the previous one was known.
  uint32_t Incidents = 0;
  /// The latest servers that crashed, in the order of their crashes.
  std::vector<PastEvent<uint64_t>> CrashedServers;
  /// Remaining time of the quarantine in microseconds; 0: not quarantined.
  int64_t QuarantineLeftUs = 0;
  bool operator==(const CrashReport &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Signature, Incidents, CrashedServers, QuarantineLeftUs);
  }
};

/// Message that entries send to each other by datagram when there is anything
/// to report. Each item is sent several times because datagrams get lost.
/// Receiving items twice or out of order has no effect.
struct CrashReports {
  std::vector<CrashReport> Suspects;
  /// Signatures of requests that were answered, since their latest answer.
  std::vector<PastEvent<Id128>> Answered;
  /// Servers that were running after one of their connections had broken.
  std::vector<PastEvent<uint64_t>> LiveServers;
  /// Signatures whose quarantine the sender lifted for want of evidence.
  std::vector<Id128> Lifted;
  bool isEmpty() const {
    return Suspects.empty() && Answered.empty() && LiveServers.empty() &&
           Lifted.empty();
  }
  bool operator==(const CrashReports &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Suspects, Answered, LiveServers, Lifted);
  }
};

} // namespace daisytack::direct
