#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Installs what the build and the tests need (Debian 12).
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config python3 python3-aiohttp ccache
  libboost1.81-dev libboost-test1.81-dev libcxxopts-dev libspdlog-dev
  libexpected-dev libtomlplusplus-dev libthrift-dev libxxhash-dev libzstd-dev
  librapidcheck-dev rumur "$@")
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq \
  --no-install-recommends "${missing[@]}" >/dev/null
