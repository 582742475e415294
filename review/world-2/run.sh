#!/bin/bash
# Runs the driver of the case in folder $1. Exits with 1: the rule was broken, 0: it held, 2: the
# case could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
driver=$root/review/world-2/bin/driver-$(basename "$folder")
if [ ! -x "$driver" ] || [ ! -x "$root/target/wisteriahoist" ]; then
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
fi
rm -f "$folder/record.txt"
timeout -k 2 115 "$driver" "$folder" "$root"
code=$?
[ $code -le 2 ] || code=2
exit $code
