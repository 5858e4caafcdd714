#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for p in eelgrass-gateway eelgrass-agent review-rig; do
  [ -x "target/$p" ] || { echo "target/$p is missing: run the build line of deploy/system.toml and review/build-2.sh"; exit 2; }
done
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 5 110 target/review-rig leaving "review/8/record.txt"
