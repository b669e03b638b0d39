#!/usr/bin/env bash
# Compiles the stand-ins and the scripts of the cases, with the JDK alone.
set -euo pipefail
cd "$(dirname "$(readlink -f "$0")")/.."
rm -rf review/target
mkdir -p review/target
javac --release 17 -d review/target review/standins/*.java
