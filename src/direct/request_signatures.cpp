#include "direct/request_signatures.h"

#include "base/digest.h"

#include <cstring>
#include <string>

namespace daisytack::direct {

namespace {

/// Bit of Id128::Lo that distinguishes signatures of parts from those of whole
/// requests.
constexpr uint64_t PartBit = 1;

/// Appends the field with its length, so that different lists of fields never
/// give the same text.
void append(std::string &out, std::string_view field) {
  out += std::to_string(field.size());
  out += ':';
  out += field;
}

uint64_t digestOf(std::string_view text) {
  Digest256 digest = sha256(text);
  uint64_t out = 0;
  std::memcpy(&out, digest.data(), sizeof(out));
  return out;
}

} // namespace

Id128 wholeSignature(const ForwardRequest &request, std::string_view body) {
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
  out.Lo &= ~PartBit;
  return out;
}

std::vector<Id128> partSignatures(const ForwardRequest &request) {
  const std::vector<PromptPart> &parts = request.Head.Parts;
  std::vector<Id128> out;
  if (parts.size() < 2)
    return out;
  uint64_t organisation = digestOf(request.Organisation) | PartBit;
  for (size_t i = 0; i + 1 < parts.size(); ++i)
    out.push_back({digestOf(parts[i].Id), organisation});
  return out;
}

} // namespace daisytack::direct
