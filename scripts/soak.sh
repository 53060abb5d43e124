#!/usr/bin/env bash
# Runs the soak test, which injects random faults, with other seeds than CI: scripts/soak.sh FIRST-LAST
set -euo pipefail
cd "$(dirname "$0")/.."
LAGOONYARD_SOAK="${1:?range of seeds, such as 100-150}" cargo test --locked -p lagoonyard-platform --test soak -- --nocapture
