#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Installs what is missing, builds, and runs all tests through CTest; the unit
# tests once more with the sanitizers, and the short soak with them alone. Tests
# named in KNOWN-RED.txt are run and printed, but do not decide the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
red=""
if [ -s KNOWN-RED.txt ]; then
  echo "known to be red (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
  red=$(sed -n 's/^\([^:]*\):.*/\1/p' KNOWN-RED.txt | paste -sd'|')
fi
scripts/build.sh release | tail -n 1
scripts/build.sh sanitize unit_tests soak | tail -n 1
run() { ctest --test-dir "$1" --output-on-failure "${@:2}"; }
skip=(); [ -z "$red" ] || skip=(-E "^($red)\$")
run build/sanitize -L unit -j 4 "${skip[@]}"
run build/release -L 'unit|model' -j 4 "${skip[@]}"
run build/release -LE 'unit|model|soak' "${skip[@]}"
run build/sanitize -L soak "${skip[@]}"
[ -z "$red" ] || run build/release -R "^($red)\$" || echo "still red: $red"
