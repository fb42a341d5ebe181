/// Timers on BootClock, which includes time spent in suspend. A timer that
/// expired during a suspend fires after the resume, when the next timer of the
/// process fires.
#pragma once

#include "base/clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace daisytack::net {

using Timer = boost::asio::basic_waitable_timer<BootClock>;

} // namespace daisytack::net
