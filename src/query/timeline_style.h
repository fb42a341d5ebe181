/// Style sheet of the timeline page. Light or dark colours follow the browser's
/// preference.
#pragma once

#include <string_view>

namespace daisytack::query {

constexpr std::string_view PageStyle = R"(
:root {
  color-scheme: light dark;
  --back: #ffffff; --text: #1b1f24; --faint: #59636e; --line: #d5dae0;
  --request: #8fb8de; --wait: #e5b567; --fetch: #5fae8b; --run: #3b6fb6;
  --load: #9a7fc7; --bad: #c4362b; --gap: #eceff2;
}
@media (prefers-color-scheme: dark) {
  :root {
    --back: #14171b; --text: #e6e9ec; --faint: #9aa4ae; --line: #343b43;
    --request: #3d5f80; --wait: #a97f34; --fetch: #3f8568; --run: #6f9fdc;
    --load: #8468b4; --bad: #ef7368; --gap: #22272d;
  }
}
body { margin: 0; background: var(--back); color: var(--text);
  font: 15px/1.5 system-ui, sans-serif; }
main { max-width: 1200px; margin: 0 auto; padding: 16px; }
h1 { font-size: 22px; margin: 0 0 4px; overflow-wrap: anywhere; }
h2 { font-size: 18px; margin: 28px 0 4px; }
h3 { font-size: 15px; margin: 16px 0 4px; }
p { margin: 4px 0; color: var(--faint); }
.note { color: var(--bad); }
.scroll { overflow-x: auto; }
.drawing { min-width: 860px; margin: 8px 0; }
svg { display: block; width: 100%; height: auto; }
.grid, .edge { stroke: var(--line); stroke-width: 1; }
.mark { fill: var(--faint); font-size: 10px; }
.lane { fill: var(--text); font-size: 12px; }
.gap { fill: var(--gap); background: var(--gap); }
.request { fill: var(--request); background: var(--request); }
.wait { fill: var(--wait); background: var(--wait); }
.fetch { fill: var(--fetch); background: var(--fetch); }
.run { fill: var(--run); background: var(--run); }
.load { fill: var(--load); background: var(--load); }
.span.bad { stroke: var(--bad); stroke-width: 2; }
.event { fill: var(--faint); }
.event.bad { fill: var(--bad); }
.legend { display: flex; flex-wrap: wrap; gap: 4px 16px; font-size: 13px; }
.box { display: inline-block; width: 12px; height: 12px; border-radius: 2px;
  margin-right: 6px; vertical-align: -1px; }
table { border-collapse: collapse; font-size: 14px; min-width: 560px; }
th, td { text-align: left; padding: 4px 14px 4px 0;
  border-bottom: 1px solid var(--line); white-space: nowrap; }
.n { text-align: right; font-variant-numeric: tabular-nums; }
.bar { display: inline-block; width: 120px; height: 10px;
  background: var(--gap); border-radius: 2px; overflow: hidden; }
.bar span { display: block; height: 100%; }
)";

} // namespace daisytack::query
