#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]*/case.cpp; do
    number=${source%%/*}
    g++ -std=c++20 -O1 -pthread -Wall -Wextra "$source" -o "build/case-$number" -lboost_json &
done
wait
for source in [0-9]*/case.cpp; do
    test -x "build/case-${source%%/*}"
done
