#!/usr/bin/env bash
# Start of `serve` by jar: seconds to ready, MB resident 2 s later, descriptors without clients; on one core, by turns.
# Usage: benchmarks/start.sh ROUNDS JAR...     (the archive of classes is looked for beside each jar)
set -eu
rounds=$1
shift
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cat > "$dir/config.json" <<'J'
{"name": "start", "listen": "127.0.0.1:16543", "discovery": "127.0.0.1:9", "seed": "1", "limits": {"memory_mb": 192, "sockets": 256},
 "settings": {"balancers": 1, "zone": "a", "discovery": "subscribe", "report": {"how": "inline"},
 "domain": {"read_level": ["bounded", "any", "write"], "max_age": [200000000, 0, 0], "when_behind": "wait", "write_marks": "carried"},
 "limits": {"most_tries": 3}, "grades": [
 {"name": "bounded", "effect": "idempotent", "aim": 250000000, "hard_limit": 500000000},
 {"name": "any", "effect": "idempotent", "aim": 250000000, "hard_limit": 500000000},
 {"name": "write", "effect": "deduplicated", "group": "cell", "aim": 250000000, "hard_limit": 500000000, "repeat_window": 1000000000}]},
 "known": {"rev": 2, "all": true, "targets": []}}
J
for ((round = 0; round < rounds; round++)); do
  for jar in "$@"; do
    start=$(date +%s%N)
    LB_CONFIG=$dir/config.json taskset -c 0 java -XX:CompileThresholdScaling=0.1 -XX:SharedArchiveFile="${jar%.jar}.jsa" -Xshare:auto \
      -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms48m -Xmx72m -Xss512k -XX:MaxDirectMemorySize=32m -XX:ReservedCodeCacheSize=24m \
      -XX:MaxMetaspaceSize=40m -XX:-UsePerfData -Dio.netty.jfr.enabled=false -jar "$jar" serve ${OPTIONS:-} 2> "$dir/log" &
    pid=$!
    until (exec 3<> /dev/tcp/127.0.0.1/16543) 2> /dev/null; do
      sleep 0.01
      kill -0 $pid || { cat "$dir/log"; exit 1; }
    done
    ready=$((($(date +%s%N) - start) / 1000000))
    sleep 2
    resident=$(awk '/VmRSS/ {print int($2 / 1024)}' /proc/$pid/status)
    echo "$jar: ready after $ready ms, $resident MB resident, $(ls /proc/$pid/fd | wc -l) descriptors"
    kill $pid
    wait $pid || true
  done
done
