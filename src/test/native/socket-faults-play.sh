#!/usr/bin/env bash
# Plays waits, reads and writes that are interrupted or short on a relay with the example configuration:
# socket-faults-play.sh MODE after the build, with wait-eintr, read-eintr, write-eintr, short or none. Prints how many of 60
# clients had no answer and exits with 1 if there is one. Uses the ports of the example.
cd "$(dirname "$0")/../../.." || exit 2
work=$(mktemp -d)
trap 'kill -KILL $relay $servers 2>/dev/null; rm -rf "$work"' EXIT
cc -shared -fPIC -o "$work/socket_faults.so" src/test/native/socket_faults.c -ldl || exit 2
java examples/Toy.java >"$work/servers.log" 2>&1 &
servers=$!
for _ in {1..100}; do
    curl -s -o /dev/null -m 1 http://127.0.0.1:8481/ && break
    sleep 0.1
done
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
PROXY_CONFIG=examples/relay.json SOCKET_FAULTS=$1 LD_PRELOAD=$work/socket_faults.so sh -c "$run" >"$work/relay.log" 2>&1 &
relay=$!
for _ in {1..60}; do
    grep -q "serves on" "$work/relay.log" && break
    sleep 0.1
done
unanswered=0
for i in {1..60}; do
    curl -s -o /dev/null -m 2 -H "X-Trace-Id: $i" http://127.0.0.1:8480/read/x || unanswered=$((unanswered + 1))
done
echo "$1: $unanswered of 60 unanswered"
[ "$unanswered" -eq 0 ]
