#!/usr/bin/env bash
# Builds the stand-ins of all cases; they use the standard library alone, so no registry is asked.
set -euo pipefail
cd "$(dirname "$0")/standin"
exec cargo build --release --offline --target-dir target
