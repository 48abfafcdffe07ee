#!/bin/sh
# Builds the stand-ins of the cases. Needs only the JDK; the relay itself is built by the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -encoding UTF-8 -d classes standin/*.java
