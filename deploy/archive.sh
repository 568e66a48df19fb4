#!/usr/bin/env bash
# Makes an archive of the classes that the daemons load, so that a restarted daemon serves sooner.
# All daemons run in one process on loopback and serve a few turns; the JVM archives what they loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
java -XX:ArchiveClassesAtExit=target/sycamore/classes.jsa -Xshare:auto -Xmx256m -Xss256k -XX:+UseSerialGC \
  -XX:TieredStopAtLevel=1 -Dsycamore.platform.logs=true \
  -cp target/sycamore/daemons.jar sycamore.rehearsal.MainKt --metrics-port 9464 > target/sycamore/rehearsal.log 2>&1
ls target/sycamore/classes.jsa > /dev/null
