#!/usr/bin/env bash
# Makes an archive of the classes that each daemon loads, so that a restarted daemon serves sooner.
# Each daemon is started on loopback with sample settings, and told to stop once it has loaded its classes.
set -euo pipefail
cd "$(dirname "$0")/.."
out="target/sycamore"
for daemon in gateway homes retainer; do
  SYCAMOREGW_NODE_FILE="deploy/rehearsal/$daemon.toml" \
    java -XX:ArchiveClassesAtExit="$out/$daemon.jsa" -Xshare:auto -Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -Dlogback.configurationFile=logback-platform.xml -cp "$out/lib/*" "sycamore.$daemon.MainKt" > "$out/$daemon.log" 2>&1 &
  pids+=($!)
done
sleep 4
kill "${pids[@]}"
wait "${pids[@]}" || true
ls "$out"/*.jsa > /dev/null
