#!/bin/sh
# Plays one case: play.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption. All processes that it starts have ended when it returns.
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/Kit.class ] || [ ! -f target/gatelock.jar ]; then
    echo "first run the build of deploy/balancer.toml and review/build-2.sh" >&2
    exit 2
fi
temp=$(mktemp -d) || exit 2
java -Xmx512m -cp target/review-2 "$2" "$folder" "$temp" >"$temp/output" 2>&1 &
driver=$!
trap 'kill "$driver" 2>/dev/null; wait "$driver"; rm -rf "$temp"; exit 2' INT TERM HUP
wait "$driver"
result=$?
grep -E 'BROKEN|RESULT|could not run|^Exception|^Error' "$temp/output"
rm -rf "$temp"
case $result in
    0 | 1) exit "$result" ;;
    *) exit 2 ;;
esac
