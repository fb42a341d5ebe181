#include "direct/request_identity.h"

#include "base/digest.h"

#include <cstring>
#include <string>

namespace daisytack::direct {

namespace {

/// Appends the field with its length, so that different lists of fields never
/// give the same text.
void append(std::string &out, std::string_view field) {
  out += std::to_string(field.size());
  out += ':';
  out += field;
}

} // namespace

Id128 requestIdentity(const ForwardRequest &request, std::string_view body) {
  std::string text;
  append(text, request.Organisation);
  append(text, request.Head.Method);
  append(text, request.MatchedRoute.Host);
  append(text, request.Head.Target);
  append(text, body);
  Digest256 digest = sha256(text);
  Id128 out;
  std::memcpy(&out.Hi, digest.data(), sizeof(out.Hi));
  std::memcpy(&out.Lo, digest.data() + sizeof(out.Hi), sizeof(out.Lo));
  return out;
}

} // namespace daisytack::direct
