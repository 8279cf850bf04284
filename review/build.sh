#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases that are scripts. It needs the toolchain of the build and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 review/harness.rs -o target/review/harness
