#!/bin/sh
# Builds the stand-ins and scripts of cases 11 to 15 into target/review-3, after the build of the
# deploy file. Uses what that build has installed, and no network.
set -e
cd "$(dirname "$0")/.."
target/node review/parts-3/build.ts
