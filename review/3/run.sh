#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the stop of a router out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/micahaven-review ] && [ -x target/micahaven-router ] || exit 2
exec timeout 60 target/micahaven-review slow-pipeline review/3
