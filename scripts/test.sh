#!/usr/bin/env bash
# Builds everything and runs all tests; arguments go to the tests, such as `--skip NAME`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --locked
cargo test --workspace --locked -- "$@"
