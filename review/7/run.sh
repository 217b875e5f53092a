#!/usr/bin/env bash
# A request that is complete just after a leaving instance closed its listener is passed on and never answered.
set -u
cd "$(dirname "$0")/../.."
exec review/standin-2/run-case.sh stop-new-connection review/7/record.txt
