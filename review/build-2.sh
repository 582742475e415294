#!/bin/bash
# Builds the stand-ins and drivers of the cases 6 to 10, with the packages of the deploy file alone.
set -eu
cd "$(dirname "$0")"
mkdir -p world-2/bin
g++ -std=c++20 -O1 -pthread world-2/instance.cpp -o world-2/bin/instance
for driver in [0-9]*/driver.cpp; do
    number=$(basename "$(dirname "$driver")")
    g++ -std=c++20 -O1 -pthread "$driver" -o "world-2/bin/driver-$number"
done
echo "build-2: done"
