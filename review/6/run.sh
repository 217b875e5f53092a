#!/usr/bin/env bash
# One entry of another writer, whose name has a space, keeps restarted instances from serving at all.
set -u
cd "$(dirname "$0")/../.."
exec review/standin-2/run-case.sh foreign-name-recover review/6/record.txt
