/// Groups of organisations that share kept context. The name of a group is part
/// of every scope that context is kept under.
///
/// Neither servers nor stores know which organisation's request made a part, so
/// a part must never lie in a scope that an organisation reads from which may
/// not share it. An isolated organisation is alone in its group. All others are
/// in one common group, whose name follows from the set of isolated
/// organisations: nothing that an organisation has left in a common group is
/// found any more once it is isolated, and every entry derives the same names
/// from the same configuration, without messages and across restarts. When
/// organisations cease to be isolated, the name of an earlier set returns; its
/// parts were made by organisations that are not isolated now.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace daisytack::direct {

/// Name of the group of all organisations that are not isolated, given those
/// that are, in any order.
std::string commonContextGroup(std::vector<std::string> isolated);
/// Name of the group of an isolated organisation.
std::string isolatedContextGroup(std::string_view organisation);

} // namespace daisytack::direct
