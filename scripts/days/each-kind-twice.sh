#!/usr/bin/env bash
# Writes a day for each kind of trouble beside planned work: the configuration
# changes and targets leave just before, during and after it; and it comes twice.
# Usage: each-kind-twice.sh FOLDER
set -euo pipefail
out=$1
"$(dirname "$0")/each-kind-alone.sh" "$out"
for day in "$out"/*.toml; do
    fault=$(sed -n 's/^faults = \[\(.*\)\]$/\1/p' "$day")
    again=${fault/at = 8.0/at = 17.0}
    cat > "$day" <<TOML
name = "$(basename "$day" .toml)"
slot = "trouble"
seed = 4711
length_s = 32.0
plan = [
  { at = 7.9, kind = "config_change", how = "route" },
  { at = 8.5, kind = "scale_in", share = 0.06 },
  { at = 9.3, kind = "config_change", how = "route" },
  { at = 11.0, kind = "config_change", how = "timeout" },
  { at = 12.5, kind = "config_change", how = "idle" },
  { at = 14.0, kind = "config_change", how = "route" },
  { at = 18.0, kind = "config_change", how = "route" },
  { at = 18.5, kind = "scale_in", share = 0.06 },
  { at = 22.5, kind = "config_change", how = "route" },
]
faults = [$fault, $again]
TOML
done
