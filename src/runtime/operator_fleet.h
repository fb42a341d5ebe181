/// Puts one request to several processes of the fleet, a bounded number at the
/// same time, until a deadline.
#pragma once

#include "daisytack/objects.h"
#include "net/http_client.h"

#include <functional>
#include <vector>

namespace daisytack::runtime {

/// What each process is asked, on its operators' address.
struct FleetRequest {
  net::HttpRequest Http;
  std::function<Endpoint(const Member &)> AddressOf; ///< Of its operators.
  size_t MaxAtOnce = 1;
  Duration Deadline{0}; ///< For all of them together.
};

/// What came of one process.
struct FleetReply {
  Error Failure; ///< Kind None: Response holds.
  net::HttpResponse Response;
};

struct FleetHooks {
  /// Called once for each member asked, one at a time, in any order. False: no
  /// further member needs to be asked.
  std::function<bool(size_t index, FleetReply reply)> Replied;
  /// Called last, with the number of members asked: the first ones.
  std::function<void(size_t asked)> Done;
};

/// Asks the members in their order.
void sendToFleet(net::HttpClient &client, std::vector<Member> members,
                 FleetRequest request, FleetHooks hooks);

} // namespace daisytack::runtime
