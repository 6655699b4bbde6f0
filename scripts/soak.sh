#!/usr/bin/env bash
# Plays the fault soak: the seeds that ever failed, then fresh ones.
# ROUNDS is the number of fresh seeds, LENGTH how long faults last in a round.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/micahaven-router ./cmd/micahaven-soak
failed=0
for seed in $(grep -v '^#' internal/soak/seeds.txt | cut -d' ' -f1); do
  ./bin/micahaven-soak --seed "$seed" --length "${LENGTH:-25s}" || failed=1
done
./bin/micahaven-soak --rounds "${ROUNDS:-3}" --length "${LENGTH:-25s}" || failed=1
exit $failed
