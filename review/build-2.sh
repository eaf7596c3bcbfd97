#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review with the JDK alone. The program under test is built by the line 'build' of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
javac --release 17 -encoding UTF-8 -Xlint:all -d ../target/review-2 rig2/*.java
