#!/bin/sh
# The stand-ins are plain JavaScript for Node.js: nothing is compiled. Checks their syntax.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
