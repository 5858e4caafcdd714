#!/bin/sh
# Builds the stand-ins of the cases 11 to 14.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig3 ./review/rig3
