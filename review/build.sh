#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build line of deploy/system.toml. They use the
# standard library only and are a module of their own, so that the project's tests don't see them.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/micahaven-review .
