#include "gateway/server_word.h"

#include "net/http_status.h"

namespace daisytack::gateway {

void noteRequestLimit(GatewayState &state, direct::ServerRef server,
                      const direct::ServerHead &head, AnswerTo what,
                      TimePoint now) {
  // Another instance may have answered, one that started after this one ended.
  if (head.Status == net::StatusMisdirected)
    return;
  if (head.IsLimitUnreadable)
    return state.Log.write(LogWeight::Notable, "server_limit_unreadable",
                           {{"server", server.Id}}, now);
  // A failure may come from something in front of the server, which names none.
  bool saysAll = what == AnswerTo::Request && net::isSuccess(head.Status);
  if (!head.RequestLimit && !saysAll)
    return;
  direct::LimitChange change =
      state.Limits.onAnswer(server, head.RequestLimit, now);
  if (change == direct::LimitChange::Imposed)
    state.Log.write(LogWeight::Notable, "server_limited",
                    {{"server", server.Id}, {"per_second", *head.RequestLimit}},
                    now);
  if (change == direct::LimitChange::Lifted)
    state.Log.write(LogWeight::Notable, "server_limit_lifted",
                    {{"server", server.Id}}, now);
}

} // namespace daisytack::gateway
