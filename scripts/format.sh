#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Formats every source file; with --check only says which are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard -- '*.h' '*.cc' |
  grep -v '/generated/' | xargs clang-format-16 "${mode[@]}"
