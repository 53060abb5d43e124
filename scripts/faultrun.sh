#!/usr/bin/env bash
# Runs the short set of failure cases with real processes on loopback. Arguments go to the program; see --help.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --workspace --bins >&2
if [ $# -eq 0 ]; then set -- --short; fi
exec "${CARGO_TARGET_DIR:-target}/debug/faultrun" "$@"
