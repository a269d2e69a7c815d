#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Counts uses of names that docs/GLOSSARY.md replaces by the field's terms; fails
# if there are more than at the last count, which scripts/old-words.txt holds.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
while read -r most word; do
  uses=$({ git grep -ohE "$word" -- src platform || true; } | wc -l)
  if [ "$uses" -gt "$most" ]; then
    echo "$word: $uses uses, $most at the last count" >&2
    status=1
  fi
done <scripts/old-words.txt
exit $status
