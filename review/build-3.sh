#!/usr/bin/env bash
# Builds the stand-ins and the cases 11 to 15 into target/review-3. The daemons are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/bed-3/*.java $(find review/1[1-5] -name '*.java')
