#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target/review-2
cd review/standins-2
GOFLAGS=-buildvcs=false go build -o "$root/target/review-2/standins2" .
