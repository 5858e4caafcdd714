#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the programs of the deploy file: the stand-ins and
# clients of review/rig. It needs no network once the modules of the repository are there.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-rig ./review/rig
