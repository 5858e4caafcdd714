#!/usr/bin/env bash
# Measures how fast weights reach 15, 30 and 60 instances, with each fault and against the two baselines, and then the
# service while a failure domain leaves and returns. The bursts run with all instances in one process and again with
# one process for each instance. Takes about ten minutes. SEED is the seed of the bursts.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${SEED:-1}
# The bound is 2 s. With 60 instances that all read from the origin, a burst takes 60 s.
burst() { go run ./internal/burstbench --size $((8 << 20)) --seed "$seed" "$@"; }

printf 'seed %s, %s, %s\n' "$seed" "$(date -u +%FT%TZ)" "$(git rev-parse --short HEAD)"
burst
burst --fault none --scheme tree,origin-only | tail -n +2
# Processes get a quarter of the rates (bound 8 s), so that the machine's processors do not limit the burst.
burst --processes --link $((1 << 20)) --origin $((2 << 20)) --cross $((1 << 20))
go build -o bin/ ./cmd/...
go test ./e2e -count=1 -ginkgo.label-filter=bench -v
