#!/usr/bin/env bash
# Starts an entry, an agent and stand-ins of the table service and a target on
# loopback, submits the example configuration, sends a request and a job, then stops
# all processes. Run it from the root of the repository after `make setup`, with
# .venv/bin on PATH.
set -euo pipefail

scratch=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}"; rm -r "$scratch"' EXIT

start() {
    "$@" >>"$scratch/log" 2>&1 &
    pids+=($!)
}

start python -m endivetally_standins.table_service \
    --port 7000 --ready-file "$scratch/table"
until [ -s "$scratch/table" ]; do sleep 0.1; done
start endivetally serve entry --settings examples/entry.json
start endivetally serve agent --settings examples/agent.json
start python -m endivetally_standins.target --agent 127.0.0.1:9090 \
    --service search-front --slots 8 \
    --ready-file "$scratch/target" --record "$scratch/starts"
until [ -s "$scratch/target" ]; do sleep 0.1; done

export ENDIVETALLY_ENTRY=127.0.0.1:8080
export ENDIVETALLY_TOKEN=example-operators
endivetally config check examples/text.json
endivetally config submit examples/text.json --based-on 0
until curl -sf http://127.0.0.1:8080/healthz >/dev/null; do sleep 0.1; done

curl -s -H 'Authorization: Bearer example-clerks' \
    -d '{"run_ms": 120, "echo": "HR-2020-1"}' \
    http://127.0.0.1:8080/v1/services/citation-lookup/requests
echo
curl -s -H 'Authorization: Bearer example-clerks' \
    -H 'Idempotency-Key: sweep-17' \
    -d '{"tasks": [{"run_ms": 50}, {"run_ms": 80}]}' \
    http://127.0.0.1:8080/v1/services/precedent-sweep/jobs
echo
endivetally status
endivetally report burn
