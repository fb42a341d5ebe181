/// Sends one HTTP request to several processes of the fleet, with a limit on
/// concurrent calls and a common deadline.
#pragma once

#include "daisytack/objects.h"
#include "net/http_client.h"

#include <functional>
#include <vector>

namespace daisytack::runtime {

/// The request that each process receives at its address for operators.
struct FleetRequest {
  net::HttpRequest Http;
  /// Returns a member's address for operators.
  std::function<Endpoint(const Member &)> AddressOf;
  size_t MaxAtOnce = 1; ///< Maximum number of concurrent calls.
  Duration Deadline{0}; ///< Time limit of all calls together.
};

/// Reply of one process, or the failure to get one.
struct FleetReply {
  Error Failure; ///< Response is valid if the kind is None.
  net::HttpResponse Response;
};

struct FleetHooks {
  /// Called once for each queried member, in any order, one call at a time.
  /// Returns false if no further member needs to be queried.
  std::function<bool(size_t index, FleetReply reply)> Replied;
  /// Called last, with the number of queried members. These are the first ones
  /// of the list.
  std::function<void(size_t asked)> Done;
};

/// Sends the request to the members in the order of the list.
void sendToFleet(net::HttpClient &client, std::vector<Member> members,
                 FleetRequest request, FleetHooks hooks);

} // namespace daisytack::runtime
