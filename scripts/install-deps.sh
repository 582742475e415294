#!/usr/bin/env bash
# Installs everything the build, the linters and the tests need from Debian's packages. Idempotent.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache make pkg-config clang-format clang-tidy
    libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev libboost-system1.81-dev libboost-thread1.81-dev
    libnghttp2-dev libabsl-dev libtomlplusplus-dev libxxhash-dev libssl-dev zlib1g-dev
    libprotobuf-dev protobuf-compiler
    libcriterion-dev librapidcheck-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
