#!/bin/bash
# Runs one case: run-case.sh CLASS RECORD, where RECORD is the file that its record is written to. Starts the stand-ins
# and the relay in processes of their own, with a temporary folder, for at most 120 s. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/gatelock.jar ] || [ ! -f "review/classes/$1.class" ]; then
    echo "build first: the command of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
RELAY_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RELAY_COMMAND
export TROUBLE="${TROUBLE:-1}"
work=$(mktemp -d) || exit 2
java -Xmx512m -cp review/classes "$1" "$2" "$work" &
pid=$!
trap 'kill -TERM $pid 2>/dev/null' TERM INT
wait $pid
code=$?
if [ "$code" -gt 128 ] && [ -f "$work/relay.pids" ]; then
    # The program ends its relays itself, unless it was killed.
    while read -r relay; do kill -KILL "$relay" 2>/dev/null; done < "$work/relay.pids"
fi
rm -rf "$work"
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
