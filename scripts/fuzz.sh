#!/usr/bin/env bash
# Compares the clients' server with net/http's, with bytes that nobody has thought of, for
# LENGTH. The seeds, and each input that ever made them differ, are played by the tests of
# the CI script, which has the same verdict every time; this is run by hand.
set -euo pipefail
cd "$(dirname "$0")/.."
# Inputs are not made smaller for long: that is for a failure.
go test -run '^$' -fuzz FuzzSameAnswersAsTheStandardServer -fuzztime "${LENGTH:-10m}" \
  -fuzzminimizetime 5x -parallel 2 ./internal/ingress/pipeline
