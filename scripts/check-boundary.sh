#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# The target platform's names (platform/names.txt) are used in platform/ only,
# and what translates stays small.
set -euo pipefail
cd "$(dirname "$0")/.."
most_lines=1500
if git grep -nwFf platform/names.txt -- src deploy scripts tests/soak ':!scripts/check-boundary.sh'; then
  echo "the platform's names stand outside platform/" >&2
  exit 1
fi
lines=$(cat platform/*.h platform/*.cc | wc -l)
if [ "$lines" -gt "$most_lines" ]; then
  echo "platform/ has $lines lines, more than $most_lines" >&2
  exit 1
fi
echo "platform/ has $lines lines, and its names stay there"
