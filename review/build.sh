#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The programs under review are built with the
# line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/standin
