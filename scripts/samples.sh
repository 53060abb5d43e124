#!/usr/bin/env bash
# Keeps the encoded messages and stored values of a commit for the tests of later builds: scripts/samples.sh COMMIT
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --short=7 --verify "${1:?commit}^{commit}")
source="target/samples/$commit"
files="$PWD/crates/node/tests/samples/files/$commit"
mkdir -p "$source" "$files"
git archive "$commit" | tar -x -C "$source"
mkdir -p "$source/crates/node/tests/samples"
cp crates/node/tests/samples/mod.rs "$source/crates/node/tests/samples/"
cp crates/node/tests/write_samples.rs "$source/crates/node/tests/"
LAGOONYARD_SAMPLES="$files" cargo test --locked -p lagoonyard-node --test write_samples \
  --manifest-path "$source/Cargo.toml" --target-dir target/samples/build
rm -rf "$source"
