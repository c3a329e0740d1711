#!/usr/bin/env bash
# Writes days on which targets begin tasks late while callers leave or cancel, and the
# hosts that sent the starts are removed for good, lose power or are killed meanwhile.
# Usage: late-starts.sh FOLDER
set -euo pipefail
out=$1
mkdir -p "$out"
day() { # name, what strikes the hosts
    cat > "$out/$1.toml" <<TOML
name = "$1"
slot = "trouble"
seed = 5821
length_s = 30.0
plan = [
  { at = 9.0, kind = "config_change", how = "idle" },
  { at = 15.0, kind = "config_change", how = "route" },
]
faults = [
  { at = 5.0, kind = "applied_late", x = 0.1, for_s = 8.0 },
  { at = 5.2, kind = "give_up", share = 0.4, for_s = 8.0, how = "prompt" },
  $2
  { at = 17.0, kind = "applied_late", x = 0.1, for_s = 6.0 },
  { at = 17.2, kind = "give_up", share = 0.4, for_s = 6.0 },
]
TOML
}
day late-alone ''
day late-replaced '{ at = 7.0, kind = "replace_core", x = 2.0 }, { at = 19.0, kind = "replace_core", x = 2.0, how = "seed" },'
day late-acknowledged '{ at = 7.0, kind = "after_ack_kill", for_s = 3.0 }, { at = 18.0, kind = "after_ack_kill", for_s = 3.0, how = "taken" },'
day late-killed '{ at = 7.0, kind = "node_kill", share = 0.2, for_s = 3.0 }, { at = 19.0, kind = "node_kill", share = 0.2, for_s = 3.0, how = "power" },'
day late-frozen '{ at = 7.0, kind = "node_freeze", share = 0.2, for_s = 4.0 }, { at = 19.0, kind = "node_freeze", share = 0.2, for_s = 4.0 },'
day late-stopped '{ at = 7.0, kind = "roll_term", share = 0.5, x = 3.0, gap_s = 1.0 }, { at = 19.0, kind = "node_cut", share = 0.2, for_s = 4.0, how = "servers" },'
