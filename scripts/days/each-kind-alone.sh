#!/usr/bin/env bash
# Writes a day of its own for each kind of trouble: alone, at full load.
# Usage: each-kind-alone.sh FOLDER
set -euo pipefail
out=$1
mkdir -p "$out"
day() { # name, what follows kind
    cat > "$out/$1.toml" <<TOML
name = "$1"
slot = "trouble"
seed = 4711
length_s = 30.0
faults = [{ at = 8.0, $2 }]
TOML
}
day burst 'kind = "burst", x = 1.8, for_s = 4.0'
day give-up 'kind = "give_up", share = 0.35, for_s = 6.0'
day shift 'kind = "shift", share = 0.5, for_s = 6.5'
day srv-crash 'kind = "srv_crash", share = 0.15, for_s = 4.5'
day srv-crash-dark 'kind = "srv_crash", share = 0.15, for_s = 4.5, how = "dark"'
day srv-slow 'kind = "srv_slow", share = 0.17, x = 6.5, for_s = 7.0'
day srv-grey-errors 'kind = "srv_grey", how = "errors", share = 0.085, x = 1.0, for_s = 6.5'
day srv-grey-hang 'kind = "srv_grey", how = "hang", share = 0.1, x = 1.0, for_s = 5.5'
day srv-grey-busy 'kind = "srv_grey", how = "busy", share = 0.1, x = 1.0, for_s = 5.5'
day srv-grey-mute 'kind = "srv_grey", how = "mute", share = 0.1, x = 1.0, for_s = 5.5'
day scale-out 'kind = "scale_out", share = 0.25, gap_s = 2.0'
day scale-in 'kind = "scale_in", share = 0.1'
day scale-in-spot 'kind = "scale_in", how = "spot", share = 0.2, x = 2.4'
day answer-lost 'kind = "answer_lost", share = 0.45, x = 0.05, for_s = 5.5'
day applied-late 'kind = "applied_late", x = 0.055, for_s = 5.5'
day node-kill 'kind = "node_kill", share = 0.16, for_s = 3.5, how = "power"'
day node-kill-process 'kind = "node_kill", share = 0.3'
day node-freeze 'kind = "node_freeze", share = 0.2, for_s = 3.5'
day node-slow 'kind = "node_slow", share = 0.2, x = 5.5, for_s = 5.5'
day roll-term 'kind = "roll_term", share = 1.0, gap_s = 1.4, how = "busy"'
day herd-kill 'kind = "herd_kill", share = 1.0'
day add-nodes 'kind = "add_nodes", share = 1.0'
day replace-core 'kind = "replace_core", x = 2.0, how = "leader"'
day zone-cut 'kind = "zone_cut", for_s = 5.5, how = "drop"'
day core-cut 'kind = "core_cut", for_s = 5.5, count = 1, how = "leader"'
day node-cut 'kind = "node_cut", share = 0.3, for_s = 5.5'
day node-cut-all 'kind = "node_cut", share = 0.2, for_s = 5.5, how = "all"'
day node-cut-servers 'kind = "node_cut", share = 0.17, for_s = 5.5, how = "servers"'
day srv-cut 'kind = "srv_cut", share = 0.2, for_s = 5.5, how = "some"'
day platform-down 'kind = "platform_down", for_s = 6.0, how = "silent lapse"'
day platform-nodes 'kind = "platform_down", how = "nodes busy revoke meet", share = 0.35, for_s = 9.0'
day platform-slow 'kind = "platform_slow", x = 60.0, for_s = 4.5'
day platform-lost 'kind = "platform_lost", x = 0.35, for_s = 4.5, how = "late"'
day platform-compact 'kind = "platform_compact", x = 6.0, for_s = 12.0'
day poison 'kind = "poison", share = 0.05, for_s = 3.0'
day clock-step 'kind = "clock_step", x = 3000, share = 0.5, for_s = 6.0'
day hup 'kind = "hup", share = 0.5, gap_s = 1.0'
day reset-conns 'kind = "reset_conns", share = 0.3, x = 0.5'
day reset-conns-all 'kind = "reset_conns", share = 1.0, x = 1.0'
day reset-conns-silent 'kind = "reset_conns", share = 1.0, x = 1.0, how = "silent"'
