#!/bin/bash
# Compiles the stand-ins of the cases 6 to 10 into target/review-2. Needs a JDK 17 and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/*.java
