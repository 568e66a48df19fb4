#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The project is built before, with the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standins/*.java
