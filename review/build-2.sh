#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, without a network or any crate.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/kit-2/main.rs
