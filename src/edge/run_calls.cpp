#include "edge/run_calls.h"

#include <utility>

namespace daisytack::edge {

size_t RunCalls::Hash::hash(const serve::RunToken &run) {
  return std::hash<Id128>()(run.Id) + size_t{run.AttemptNumber} * 31U +
         run.Start;
}

void RunCalls::begin(const serve::RunToken &run) {
  Slots.insert({run, Slot()});
}

void RunCalls::set(const serve::RunToken &run, net::HttpCall call) {
  bool cancelled = false;
  {
    Table::accessor slot;
    if (!Slots.find(slot, run))
      return;
    slot->second.Call = call;
    slot->second.IsSet = true;
    cancelled = slot->second.IsCancelled;
  }
  if (cancelled)
    call.cancel();
}

void RunCalls::remove(const serve::RunToken &run) { Slots.erase(run); }

void RunCalls::cancel(const serve::RunToken &run) {
  net::HttpCall call;
  {
    Table::accessor slot;
    if (!Slots.find(slot, run))
      return;
    slot->second.IsCancelled = true;
    call = slot->second.Call;
  }
  call.cancel();
}

serve::RunFailed failureOf(const serve::RunToken &run, const Error &error) {
  bool sent = error.Kind != ErrorKind::ServiceUnavailable;
  serve::RunFailed out{run, error,
                       sent ? Outcome::MayHaveRun : Outcome::NotRun};
  if (!sent)
    out.Why.Kind = ErrorKind::ServerLost;
  return out;
}

} // namespace daisytack::edge
