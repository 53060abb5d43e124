#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review. Needs no network and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/kit/Cargo.toml --target-dir target/review
