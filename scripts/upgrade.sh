#!/usr/bin/env bash
# Runs the soak with hosts of an earlier commit that are replaced by the present build, and back, one at a time:
# scripts/upgrade.sh COMMIT FIRST-LAST, with seeds from 20000 on.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --verify "${1:?commit of the old build}^{commit}")
seeds="${2:?range of seeds, such as 20000-20049}"
old="target/upgrade/$commit"
if [ ! -x "$old/node" ]; then
  mkdir -p "$old/source"
  git archive "$commit" | tar -x -C "$old/source"
  cargo build --locked -p lagoonyard-platform --manifest-path "$old/source/Cargo.toml" --target-dir target/upgrade/build
  cp target/upgrade/build/debug/lagoonyard-node "$old/node"
  rm -rf "$old/source"
fi
LAGOONYARD_OLD_NODE="$PWD/$old/node" LAGOONYARD_SOAK="$seeds" \
  cargo test --locked -p lagoonyard-platform --test soak -- --nocapture
