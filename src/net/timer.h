/// Timers that also run out while the machine is suspended: as it is back,
/// those whose time has come do so with the next timer of the process that
/// ticks.
#pragma once

#include "base/clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace daisytack::net {

using Timer = boost::asio::basic_waitable_timer<BootClock>;

} // namespace daisytack::net
