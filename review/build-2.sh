#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review, with the compiler of rust-toolchain.toml
# and without any library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-2 review/standin-2/main.rs
