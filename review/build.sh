#!/bin/sh
# Builds what the scripts start besides the build of the deploy file. The
# stand-ins of the cases are plain modules, so they are only checked.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
