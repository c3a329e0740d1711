#!/usr/bin/env bash
# Writes days on which the configuration changes and targets leave right as trouble in
# the store, or of open connections, ends: hosts are in touch 3 s (4 s on the grown
# deployments) after that, whatever came before.
# Usage: store-returns.sh FOLDER
set -euo pipefail
out=$1
mkdir -p "$out"
day() { # name, trouble from 6 s on, when it ends
    local end=$3
    at() { awk "BEGIN { print $end $1 }"; }
    cat > "$out/$1.toml" <<TOML
name = "$1"
slot = "trouble"
seed = 4717
length_s = 24.0
plan = [
  { at = $(at "- 0.4"), kind = "config_change", how = "route" },
  { at = $(at "- 0.1"), kind = "scale_in", share = 0.06 },
  { at = $(at "+ 0.05"), kind = "config_change", how = "route" },
  { at = $(at "+ 0.6"), kind = "config_change", how = "route" },
  { at = $(at "+ 1.1"), kind = "scale_in", share = 0.06 },
  { at = $(at "+ 1.9"), kind = "config_change", how = "route" },
  { at = $(at "+ 3.0"), kind = "config_change", how = "route" },
]
faults = [{ at = 6.0, $2 }]
TOML
}
day return-silent 'kind = "platform_down", how = "silent", for_s = 5.0' 11.0
day return-lapse 'kind = "platform_down", how = "silent lapse", for_s = 7.0' 13.0
day return-busy 'kind = "platform_down", how = "busy lapse", for_s = 5.0' 11.0
day return-reset 'kind = "platform_down", how = "reset", for_s = 5.0' 11.0
day return-slow 'kind = "platform_slow", x = 120.0, for_s = 5.0' 11.0
day return-lost 'kind = "platform_lost", x = 0.5, how = "late", for_s = 5.0' 11.0
day return-compact 'kind = "platform_compact", x = 6.0, how = "drain", for_s = 5.0' 11.0
day return-nodes 'kind = "platform_down", how = "nodes silent revoke meet", share = 0.5, for_s = 5.0' 11.0
day return-nodes-many 'kind = "platform_down", how = "nodes many revoke meet", share = 0.5, for_s = 5.0' 11.0
day return-zone 'kind = "zone_cut", how = "drop meet", for_s = 5.0' 11.0
day silent-connections 'kind = "reset_conns", how = "silent", share = 1.0, x = 1.0' 6.0
