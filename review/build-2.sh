#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
