#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs nothing but the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac --release 17 -Xlint:all,-try -d target/review-3 review/rig3/*.java
