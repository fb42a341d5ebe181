/// Completion script for bash, generated from the language's verbs, tables and
/// fields.
#pragma once

#include <string>

namespace daisytack::client {

std::string completionScript();

} // namespace daisytack::client
