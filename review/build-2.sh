#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the product. Their
# stand-ins are plain modules for Node.js, so it only checks that each can be loaded.
set -e
cd "$(dirname "$0")/.."
for file in review/lib2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs \
  review/9/*.mjs review/10/*.mjs; do
  node --check "$file"
done
test -f target/bundle/main.cjs || {
  echo 'target/bundle is missing: run the build of deploy/system.toml first' >&2
  exit 1
}
