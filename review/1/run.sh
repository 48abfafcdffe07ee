#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" BadCookieCase "$here/record.txt"
