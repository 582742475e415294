#!/usr/bin/env bash
# Formatter and linter over every source file of our own (generated code is left out).
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard 'platform/*.cpp' 'platform/*.h' 'src/*.cpp' 'src/*.h' 'test/*.cpp' 'test/*.h' 'tool/*.cpp' 'tool/*.h' | grep -v '^src/generated/')
clang-format --dry-run --Werror "${sources[@]}"
cmake -S . -B build/lint -G Ninja -DCMAKE_BUILD_TYPE=Debug -DWH_PCH=OFF >/dev/null
units=()
for source in "${sources[@]}"; do
    case "$source" in *.cpp) units+=("$source") ;; esac
done
log=build/lint/clang-tidy.log
if ! printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p build/lint >"$log" 2>/dev/null; then
    cat "$log"
    echo "lint: findings above"
    exit 1
fi
echo "lint: clean"
