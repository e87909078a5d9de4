#!/bin/sh
# Builds the cases of the second review with all stand-ins that they start, in target/review-2/.
set -e
cd "$(dirname "$0")/.."
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.ts" ] || continue
  node_modules/.bin/esbuild "review/$number/case.ts" --bundle --platform=node --format=esm \
    --target=node24 --log-level=warning --outfile="target/review-2/case-$number.mjs" \
    --banner:js="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
done
