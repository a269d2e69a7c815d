#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Configures and builds a preset: scripts/build.sh [release|sanitize] [target...]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
[ $# -gt 0 ] && shift
launcher=()
command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
cmake --preset "$preset" "${launcher[@]}" >/dev/null
cmake --build --preset "$preset" ${1:+--target "$@"}
