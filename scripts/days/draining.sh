#!/usr/bin/env bash
# Writes days of its own on which halls are drained beside other trouble and planned work.
# Usage: draining.sh FOLDER
# HALLS names three halls of the site, the first of which is drained alone.
set -euo pipefail
out=$1
mkdir -p "$out"
read -r first second third <<< "${HALLS:?three halls of the site}"
drain() { # hall, at, for how long, more
    echo "{ at = $2, kind = \"evacuate\", zone = \"$1\", for_s = $3${4:-} }"
}
day() { # name, plan, faults
    cat > "$out/$1.toml" <<TOML
name = "$1"
slot = "trouble"
seed = 4711
length_s = 30.0
plan = [$2]
faults = [$3]
TOML
}
one=$(drain "$first" 4.0 12.0)
day alone "$one" ''
day alone-warm "$(drain "$first" 4.0 12.0 ', how = "warm"')" ''
day two-halls "$one, $(drain "$second" 5.0 9.0)" ''
day all-halls "$one, $(drain "$second" 5.0 9.0), $(drain "$third" 5.5 7.0)" ''
day back-within-a-second "$(drain "$first" 4.0 0.7), $(drain "$first" 8.0 0.5), $(drain "$second" 12.0 0.8)" ''
day turned-away-most "$one" '{ at = 3.5, kind = "platform_down", how = "nodes busy", share = 0.95, for_s = 9.0 }'
day starting "$one" '{ at = 3.5, kind = "platform_down", how = "nodes reset", share = 0.5, for_s = 9.0 }, { at = 4.2, kind = "node_kill", share = 0.3, for_s = 0.5 }'
day cut-half "$one" '{ at = 3.0, kind = "core_cut", how = "split", for_s = 6.0 }'
day store-slow "$one" '{ at = 3.0, kind = "platform_slow", x = 60.0, for_s = 6.0 }'
day store-lost "$one" '{ at = 3.0, kind = "platform_lost", x = 0.35, for_s = 6.0, how = "late" }'
day store-forgets "$one" '{ at = 3.0, kind = "platform_compact", x = 5.5, for_s = 12.0 }'
day power-lost "$one" '{ at = 3.9, kind = "herd_kill", on = "core", share = 1.0, how = "power", for_s = 2.0 }'
day power-lost-after "$one" '{ at = 5.0, kind = "herd_kill", on = "core", share = 1.0, how = "power", for_s = 2.0 }'
day big-change-beside "$one, { at = 3.8, kind = \"big_config\", count = 1300 }" ''
day full-load "$one" '{ at = 4.0, kind = "burst", x = 1.5, for_s = 8.0 }'
