#include "serve/caller_ticket.h"

#include <boost/json.hpp>

#include <chrono>

namespace daisytack::entry {

namespace json = boost::json;

std::optional<CallerTicketRequest>
readTicketRequest(std::string_view body, const Snapshot &config,
                  std::string_view organisation, Error &reason) {
  json::error_code ec;
  json::value value = json::parse({body.data(), body.size()}, ec);
  const json::object *object = ec ? nullptr : value.if_object();
  const json::value *service =
      object ? object->if_contains("service") : nullptr;
  const json::value *model = object ? object->if_contains("model") : nullptr;
  const json::value *name = service ? service : model;
  if (name == nullptr || !name->is_string() || (service && model)) {
    reason = {ErrorKind::BadRequest, "name one service or one model"};
    return std::nullopt;
  }
  CallerTicketRequest out;
  out.Organisation = organisation;
  out.Serves.assign(name->get_string().data(), name->get_string().size());
  out.IsService = service != nullptr;
  if (out.IsService && config.service(out.Serves) == nullptr)
    reason = {ErrorKind::UnknownService, out.Serves};
  else if (!out.IsService && config.model(out.Serves) == nullptr)
    reason = {ErrorKind::UnknownModel, out.Serves};
  else
    return out;
  return std::nullopt;
}

std::string ticketJson(std::string_view ticket, Duration valid) {
  json::object out;
  out["ticket"] = json::string_view(ticket.data(), ticket.size());
  out["valid_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(valid).count();
  return json::serialize(out);
}

} // namespace daisytack::entry
