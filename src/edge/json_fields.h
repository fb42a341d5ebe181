/// Reads fields of JSON objects that engines and stores answer, whatever they
/// hold: a field that is absent or of another kind counts as empty or 0.
#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack::edge {

/// Nothing when the text is not one JSON object.
std::optional<boost::json::object>
parseObject(std::string_view text, boost::json::storage_ptr memory = {});

std::string textOf(const boost::json::object &object, std::string_view key);

/// 0 also for a number that is negative, a fraction or too large.
uint64_t countOf(const boost::json::object &object, std::string_view key);

} // namespace daisytack::edge
