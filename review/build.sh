#!/bin/sh
# SPDX-License-Identifier: MIT
# The stand-ins are Python programs without dependencies, so there is nothing to
# compile: checks that they can be read and that the host has been built.
set -e
cd "$(dirname "$0")/.."
for each in review/lib/*.py review/*/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each"
done
test -x target/bin/valeledge-host
