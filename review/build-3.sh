#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/11 ./review/12 ./review/13 ./review/14 ./review/15
