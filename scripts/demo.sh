#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Installs, builds and shows the system at work on free loopback ports.
# --keep leaves it running and prints its addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh release | tail -n 1
exec python3 scripts/demo.py "$@"
