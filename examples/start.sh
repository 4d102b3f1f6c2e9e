#!/usr/bin/env bash
# Starts the sample fleet as plain processes. Their ids go to examples/pids,
# their logs to examples/log.
set -euo pipefail
cd "$(dirname "$0")"
bin=${BIN:-../target/release}
mkdir -p log
: > pids
start() {
    "$bin/$1" --settings "$2.toml" > "log/$2" 2>&1 &
    echo $! >> pids
}
start cottoncrank-standin-store store
start cottoncrank-standin-list list
start cottoncrank-standin-weights weights
start cottoncrank-standin-service service
start cottoncrank-standin-engine engines
start cottoncrank-controller controller-1
start cottoncrank-controller controller-2
start cottoncrank-entry entry-1
start cottoncrank-entry entry-2
echo "started; stop with: kill \$(cat examples/pids)"
