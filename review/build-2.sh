#!/usr/bin/env bash
# Builds the programs of the scripts of the second review. Run it after the build of
# deploy/system.toml. The stand-ins are part of these programs.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10; do
	if [ -f "review/$case/main.go" ]; then
		go build -o "target/review/$case" "./review/$case"
	fi
done
