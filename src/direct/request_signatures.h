/// Signatures of a request: digests of what it may have in common with other
/// requests that crash backend servers. This is the only definition of what
/// crashed attempts share, and covers requests with and without a prompt.
///
/// A request has one signature of its whole content and one for each part of
/// its prompt but the last, which belongs to the request or its session alone.
/// A part's signature is scoped to the organisation: callers choose the ids of
/// parts, and must not accuse parts of another organisation.
#pragma once

#include "direct/forward_flow.h"

#include <string_view>
#include <vector>

namespace daisytack::direct {

/// The digest of organisation, method, host, path with query, and body. It is
/// the same under another request id and at another entry. No caller can
/// construct a request with the signature of another organisation's request.
/// Reads the whole body, which takes about 1 us per kilobyte.
Id128 wholeSignature(const ForwardRequest &request, std::string_view body);

/// The signatures of the prompt's parts but the last, in their order; empty
/// without a prompt.
std::vector<Id128> partSignatures(const ForwardRequest &request);

/// Whether the signature is that of a prompt part, as opposed to a whole
/// request.
constexpr bool isPartSignature(const Id128 &signature) {
  return (signature.Lo & 1U) != 0;
}

} // namespace daisytack::direct
