#!/usr/bin/env bash
# Runs tests with real processes on a fleet of two builds: neighbouring hosts
# start with different builds, and each restart of a host changes its build.
# Guards against names on the wire, in the store or in settings that differ
# between the builds.
#
# Usage: test/mixed.sh OLD NEW PACKAGE [flags of a test binary]
#   test/mixed.sh old/ragwortstep new/ragwortstep ./test/integration -test.run 'Restart|EachItem'
#   SOAK_SEEDS=3 test/mixed.sh old/ragwortstep new/ragwortstep ./test/coop -test.run TestSoak
set -euo pipefail
old=$(realpath "$1") new=$(realpath "$2") package=$3
shift 3
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir "$dir/starts" "$dir/bin"
starts=${MIXED_LOG:-$dir/starts.log}

# The program of the hosts. Its last argument is the settings file, whose name
# ends in the host's number.
cat >"$dir/ragwortstep" <<EOF
#!/usr/bin/env bash
file=\${!#}
count="$dir/starts/\$(echo "\$file" | cksum | cut -d' ' -f1)"
echo >>"\$count"
host=\$(basename "\${file%.*}")
number=\$((\$(wc -l <"\$count") + 10#\${host##*-}))
program=$old
if [ \$((number % 2)) = 0 ]; then program=$new; fi
echo "\$(date +%T.%3N) \$host \$program" >>"$starts"
exec "\$program" "\$@"
EOF
chmod +x "$dir/ragwortstep"

# The tests compile the program themselves; this go command gives them the one
# above.
real=$(command -v go)
cat >"$dir/bin/go" <<EOF
#!/usr/bin/env bash
if [ "\$1" = build ] && [[ "\${!#}" = *cmd/ragwortstep ]]; then
    exec cp "$dir/ragwortstep" "\$3"
fi
exec $real "\$@"
EOF
chmod +x "$dir/bin/go"
go test -c -o "$dir/test" "$package"
status=0
(cd "$package" && PATH="$dir/bin:$PATH" "$dir/test" "$@") || status=$?
echo "starts: $(grep -c " $old\$" "$starts") of the old build, $(grep -c " $new\$" "$starts") of the new build"
exit $status
