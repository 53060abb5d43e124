#!/usr/bin/env bash
# Runs failure cases with real processes on loopback, by default the short set. Arguments are passed to the
# program; see --help.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --workspace --bins >&2
if [ $# -eq 0 ]; then set -- --short; fi
exec "${CARGO_TARGET_DIR:-target}/debug/faultrun" "$@"
