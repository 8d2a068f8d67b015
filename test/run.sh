#!/usr/bin/env bash
# Runs all tests: the packages with the race detector, the fuzz targets, then the
# tests with real processes. Tests named in KNOWN-RED.txt are skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

known=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
skip=()
if [ -n "$known" ]; then
    echo "known red, not run:"
    sed -n '/^[a-z]*:/p' KNOWN-RED.txt
    skip=(-skip "^($(echo "$known" | paste -sd'|'))\$")
fi

packages=$(go list ./... | grep -v '/test/integration')
echo "== unit and property tests (race detector on)"
go test -race -count=1 -timeout 300s "${skip[@]}" $packages
echo "== fuzz targets, a fixed number of inputs each"
# Targets run in parallel, because most of their time is spent building and
# starting.
grep -rl --include='*_test.go' '^func Fuzz' internal platform | while read -r file; do
    sed -n "s#^func \\(Fuzz[A-Za-z]*\\).*#\\1 ./$(dirname "$file")#p" "$file"
done | xargs -P "${FUZZ_JOBS:-4}" -L1 bash -c 'go test -run "^\$" -fuzz "^$0\$" -fuzztime "${FUZZ_COUNT:-2000}x" -parallel 2 "$1" </dev/null'
echo "== tests with real processes"
go test -count=1 -timeout 480s -p 1 "${skip[@]}" ./test/integration/...
