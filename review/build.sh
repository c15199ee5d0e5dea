#!/usr/bin/env bash
# Builds the stand-ins and the cases, after the build of the deploy file. Needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf ../target/review
mkdir -p ../target/review
javac -Xlint:all -d ../target/review standins/*.java [0-9]/*.java
