/// Lenient access to fields of JSON objects in responses of engines and stores:
/// a missing field, or one of another type, reads as empty or 0.
#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack::edge {

/// Returns nullopt when the text is not one JSON object.
std::optional<boost::json::object>
parseObject(std::string_view text, boost::json::storage_ptr memory = {});

std::string textOf(const boost::json::object &object, std::string_view key);

/// Also 0 for a number that is negative, fractional or too large.
uint64_t countOf(const boost::json::object &object, std::string_view key);

} // namespace daisytack::edge
