#!/bin/sh
# Plays case 3. Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x bin/thymeway ] && [ -x review/bin/rig ] || { echo "build first: the deploy file, then review/build.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
review/bin/rig --case 3 --run "$run" --trouble=$trouble --record "$here/record.txt" --folder "$folder" &
rig=$!
# The coordinator ends with the rig, however the rig ends.
trap 'kill -9 $rig 2>/dev/null; rm -rf "$folder"; exit 2' INT TERM HUP
wait $rig
code=$?
rm -rf "$folder"
case $code in 0|1) exit $code ;; esac
exit 2
