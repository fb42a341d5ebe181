/// Runs a RapidCheck property inside a GoogleTest test. RC_PARAMS in the
/// environment fixes the seed.
#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace daisytack {

template <class Property> void expectProperty(Property &&property) {
  EXPECT_TRUE(rc::check(std::string(), std::forward<Property>(property)));
}

} // namespace daisytack
