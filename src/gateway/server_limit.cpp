#include "gateway/server_limit.h"

#include "net/http_status.h"

namespace daisytack::gateway {

void applyRequestLimit(GatewayState &state, direct::ServerRef server,
                       const direct::ServerHead &head, ResponseKind kind,
                       TimePoint now) {
  // The answer may come from another instance, which started at the address
  // after the server had ended.
  if (head.Status == net::StatusMisdirected)
    return;
  if (head.IsLimitUnreadable)
    return state.Log.write(LogPriority::Notable, "server_limit_unreadable",
                           {{"server", server.Id}}, now);
  // An error may come from a proxy in front of the server, which names no
  // limit.
  bool isAuthoritative =
      kind == ResponseKind::Request && net::isSuccess(head.Status);
  if (!head.RequestLimit && !isAuthoritative)
    return;
  balancing::LimitChange change =
      state.Limits.onAnswer(server, head.RequestLimit, now);
  if (change == balancing::LimitChange::Imposed)
    state.Log.write(LogPriority::Notable, "server_limited",
                    {{"server", server.Id}, {"per_second", *head.RequestLimit}},
                    now);
  if (change == balancing::LimitChange::Lifted)
    state.Log.write(LogPriority::Notable, "server_limit_lifted",
                    {{"server", server.Id}}, now);
}

} // namespace daisytack::gateway
