#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: the store, the workers and the clients, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/bed/*.java
