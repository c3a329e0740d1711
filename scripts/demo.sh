#!/usr/bin/env bash
# Starts stand-ins and entry hosts of three halls on loopback, submits a job
# and prints its answer. Everything that it starts ends with it.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --quiet
bin=target/debug
demo=scripts/demo
. scripts/cluster.sh
$bin/gannetridge-call --settings $demo/caller.toml $demo/job.json
echo "logs: $logs" >&2
