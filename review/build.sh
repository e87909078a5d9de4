#!/usr/bin/env bash
# Builds the scripts of the cases with every stand-in that they start, after the build line of
# deploy/system.toml, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/node/bin/node review/build.ts
