#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They use the standard library only, so this
# needs no network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/kit-3/Cargo.toml --target-dir target/review-3
