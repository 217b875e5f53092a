#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library alone, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
cargo build --release --offline --target-dir target
