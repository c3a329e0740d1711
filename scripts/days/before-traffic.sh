#!/usr/bin/env bash
# Writes days whose troubles come before the traffic does, and changes of the
# configuration in quick succession while the store is silent.
# Usage: before-traffic.sh FOLDER
set -euo pipefail
out=$1
mkdir -p "$out"
day() { # name, faults
    cat > "$out/$1.toml" <<TOML
name = "$1"
slot = "trouble"
seed = 4713
length_s = 16.0
plan = [{ at = 1.0, kind = "config_change", how = "route" }]
faults = [$2]
TOML
}
day early-store-busy '{ at = -9.0, kind = "platform_down", how = "busy lapse", for_s = 11.0 }'
day early-store-slow '{ at = -9.0, kind = "platform_slow", x = 60.0, for_s = 14.0 }'
day early-store-lost '{ at = -9.0, kind = "platform_lost", x = 0.5, for_s = 14.0, how = "late" }'
day early-nodes '{ at = -8.0, kind = "platform_down", how = "nodes silent", share = 0.5, for_s = 12.0 }'
day early-kill '{ at = -1.0, kind = "herd_kill", share = 1.0, how = "power" }, { at = -0.5, kind = "platform_down", how = "silent", for_s = 6.0 }'
day early-cut '{ at = -8.0, kind = "zone_cut", for_s = 12.0, how = "drop" }'
day early-roll '{ at = -2.0, kind = "roll_term", share = 1.0, gap_s = 0.7 }'
day early-compact '{ at = -8.0, kind = "platform_compact", x = 6.0, for_s = 12.0 }, { at = 0.2, kind = "config_storm", for_s = 4.0, gap_s = 0.33 }'
day storm-down '{ at = 3.0, kind = "config_storm", for_s = 5.0, gap_s = 0.33 }, { at = 4.0, kind = "platform_down", how = "silent", for_s = 3.0 }, { at = 9.0, kind = "platform_down", how = "nodes silent revoke meet", share = 0.5, for_s = 4.0 }'
day silent-change '{ at = 2.0, kind = "platform_down", how = "silent", for_s = 7.0 }'
