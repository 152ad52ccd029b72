#!/bin/sh
# The stand-ins are plain JavaScript for Node.js: nothing is compiled. Checks their syntax.
set -eu
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
