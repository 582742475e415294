#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. Everything that it starts ends with it.
set -uo pipefail
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/review/build/case-$(basename "$folder")"
node="$root/target/wisteriahoist"
if [ ! -x "$program" ] || [ ! -x "$node" ]; then
    echo "not built: run the build of the deploy file and review/build.sh" >&2
    exit 2
fi
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
timeout -k 1 118 "$program" "$folder" "$node" "$directory"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
