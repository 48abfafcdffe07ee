#!/bin/sh
# Builds all stand-ins that the cases 6 to 10 start, into target/review-2. Needs the JDK only, no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
