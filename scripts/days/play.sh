#!/usr/bin/env bash
# Plays each day of its own on a site and prints what was served and broken.
# Usage: [DAYS=each-kind-twice.sh|before-traffic.sh|store-returns.sh|late-starts.sh] [SEED=N] [PLAYS=4] [SMALL=1]
#     play.sh FLEETBENCH SITE [DAY...]
# SMALL plays small twins of days of a large site.
set -euo pipefail
cd "$(dirname "$0")/../.."
bench=$1 site=$2
shift 2
days=$(mktemp -d)
trap 'rm -rf "$days"' EXIT
scripts/days/"${DAYS:-each-kind-alone.sh}" "$days"
[ $# -gt 0 ] || set -- $(cd "$days" && ls | sed 's/\.toml$//')
play() {
    "$bench" run "$site" "$days/$1.toml" ${SEED:+--seed $SEED} ${SMALL:+--small} --why "${DAYS:-alone}: $1" > "$days/$1.out" 2>&1 || true
    grep -E "^$1 " "$days/$1.out" | tail -1 || { echo "$1: not played"; tail -3 "$days/$1.out"; }
}
export -f play
export bench site days DAYS SEED SMALL
printf '%s\n' "$@" | xargs -P "${PLAYS:-4}" -I{} bash -c 'play {}'
