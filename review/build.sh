#!/usr/bin/env bash
# Builds the stand-ins and the cases of the scripts with the JDK alone. The program under test is built by the line 'build' of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
javac --release 17 -Xlint:all -d ../target/review rig/*.java
