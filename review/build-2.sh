#!/usr/bin/env bash
# Builds the stand-ins and checks that the scripts of cases 6 to 10 use. Run after the build of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/kit-2/Cargo.toml --target-dir target/review-2
