#!/usr/bin/env bash
# Plays one case: run-case.sh PROGRAM RECORD, from the root of the repository. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -u
program="review/standin-2/target/release/$1"
if [ ! -x "$program" ] || [ ! -x target/release/tamarackdeck-platform ]; then
    echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
tmp="$(mktemp -d)"
touch "$tmp/pids"
CASE_RECORD="$2" CASE_TMP="$tmp" timeout 115 "$program"
code=$?
while read -r pid; do
    # only a process that this run started, and that has not ended
    if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/release/tamarackdeck-platform" ]; then
        kill -KILL "$pid"
    fi
done < "$tmp/pids"
rm -rf "$tmp"
case $code in 0 | 1 | 2) exit "$code" ;; *) exit 2 ;; esac
