/// Completion script for bash, made from the language's own words.
#pragma once

#include <string>

namespace daisytack::client {

std::string completionScript();

} // namespace daisytack::client
