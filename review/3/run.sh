#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" "$here" PoolSwapCase
