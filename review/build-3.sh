#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 11 to 15 start; it needs the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
cargo build --release --offline
