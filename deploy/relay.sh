#!/usr/bin/env bash
# Starts a relay as the platform does, in this process, with a heap that fits into `limits.memory_mb` of the configuration
# that PROXY_CONFIG names. Uses only builtins of the shell, as the platform does not let a relay start other programs.
# The arguments are those of the command `serve`; with the argument `flags` it prints the flags of the virtual machine and
# exits. RELAY_PROGRAM names another program than the built jar.

# Resident memory of a relay without its Java heap: the virtual machine, its class archive, compiled code, thread stacks,
# buffers.
readonly NON_HEAP_MB=58
# The platform prices memory above nine tenths of the limit.
readonly USABLE_PERCENT=90
readonly MIN_HEAP_MB=14
readonly MAX_HEAP_MB=96
readonly DEFAULT_MEMORY_MB=192

# Prints nothing; sets memory_mb to the limit in the configuration, or to the default if it has none.
read_memory_limit() {
    local fields field
    memory_mb=$DEFAULT_MEMORY_MB
    [[ -r ${PROXY_CONFIG:-} ]] || return 0
    mapfile -t -d , fields <"$PROXY_CONFIG"
    for field in "${fields[@]}"; do
        if [[ $field =~ \"memory_mb\"[[:space:]]*:[[:space:]]*([0-9]{1,7}) ]]; then
            memory_mb=$((10#${BASH_REMATCH[1]}))
            return 0
        fi
    done
}

read_memory_limit
heap_mb=$((memory_mb * USABLE_PERCENT / 100 - NON_HEAP_MB))
((heap_mb >= MIN_HEAP_MB)) || heap_mb=$MIN_HEAP_MB
((heap_mb <= MAX_HEAP_MB)) || heap_mb=$MAX_HEAP_MB
# Most of what a relay allocates lives for one request only.
young_mb=$((heap_mb * 2 / 3))

# One arena for all threads: each further arena of the C allocator keeps memory that is free.
export MALLOC_ARENA_MAX=1
flags=(
    -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xshare:auto
    "-Xms${heap_mb}m" "-Xmx${heap_mb}m" "-Xmn${young_mb}m"
    -XX:MaxDirectMemorySize=16m -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=24m -Xss256k
)
if [[ -z ${RELAY_PROGRAM:-} ]]; then
    flags+=(-XX:SharedArchiveFile=target/gatelock.jsa)
fi
if [[ ${1:-} == flags ]]; then
    printf '%s\n' "${flags[@]}"
    exit 0
fi
# shellcheck disable=SC2086 # The program may have arguments of its own.
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" "${flags[@]}" ${RELAY_PROGRAM:--jar target/gatelock.jar} serve "$@"
