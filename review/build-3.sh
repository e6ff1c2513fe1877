#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The program of the deploy file is built before.
set -eu
cd "$(dirname "$0")/.."
exec go build -o target/review-3 ./review/standin-3
