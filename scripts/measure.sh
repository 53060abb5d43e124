#!/usr/bin/env bash
# Prints a table that compares the full policy with the baseline for both deployments. Arguments such as `--faults all`
# are passed to the program.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --locked --release -p lagoonyard-lab --bin measure
target/release/measure "$@"
