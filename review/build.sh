#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review/. The programs under test are
# built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for d in review/[1-5]; do
  if [ -f "$d/main.go" ]; then
    go build -buildvcs=false -tags review -o "target/review/case$(basename "$d")" "./$d"
  fi
done
