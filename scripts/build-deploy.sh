#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Builds as the target platform does, by the command of deploy/system.toml with
# the packages named there, and starts the program once.
set -euo pipefail
cd "$(dirname "$0")/.."
read_key() {
  python3 -c '
import sys, tomllib
value = tomllib.load(open("deploy/system.toml", "rb"))[sys.argv[1]]
print(value if isinstance(value, str) else " ".join(value))' "$1"
}
# shellcheck disable=SC2046  # one word for each package
scripts/install-packages.sh $(read_key packages)
bash -c "$(read_key build)" | tail -n 1
target/bin/valeledge-host --help | head -n 1
