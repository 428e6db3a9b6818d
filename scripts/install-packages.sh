#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
set -euo pipefail
packages=(
    g++ cmake make ninja-build ccache pkg-config git python3
    libabsl-dev libzmq3-dev libprotobuf-dev protobuf-compiler prometheus-cpp-dev
    libpopt-dev liblog4cxx-dev libboost1.81-dev
    cpputest libcpputest-dev nlohmann-json3-dev libxxhash-dev libssl-dev libbenchmark-dev
    libyaml-cpp-dev spin clang-format clang-tidy
)
if dpkg-query -W -f='${Status}\n' "${packages[@]}" 2>/dev/null | grep -vq 'install ok installed' \
    || ! dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${packages[@]}"
fi
