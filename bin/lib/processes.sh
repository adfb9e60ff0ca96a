# Functions that start processes on loopback and stop them on exit. To be sourced by other scripts.
# shellcheck shell=bash

logs=$(mktemp -d)
pids=()

stop_all() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$logs"
}
trap stop_all EXIT
trap 'stop_all; exit 0' INT TERM

export KUMQUATPLANK_ADMIN_TOKEN=demo-operators-credential
export KUMQUATPLANK_PEER_SECRET=demo-secret-of-the-instances
export KUMQUATPLANK_API_KEY=demo-key-hq-0123456789

# stand_in PROGRAM NAME OPTION...: starts a simulator from the testkit module.
stand_in() {
  bin/launch testkit "org.kumquatplank.testkit.$1" "${@:3}" >"$logs/$2.log" 2>&1 &
  pids+=($!)
}

# engine HOST DOMAIN REGION VERSIONS TOKEN_MS: starts a simulated model server.
engine() {
  stand_in EngineServer "engine-$1" --listen "$1:7400" --id "engine-$1" --platform "$platform" \
    --domain "$2" --region "$3" --versions "$4" --token-ms "$5" --slots 16
}

# service HOST DOMAIN REGION: starts a simulated backend server of the plain service "press".
service() {
  stand_in PlainServer "press-$1" --listen "$1:7500" --id "press-$1" --platform "$platform" \
    --domain "$2" --region "$3" --service press
}

# instance NAME HOST DOMAIN REGION: starts an instance of the router.
instance() {
  bin/kumquatplankd --name "$1" --listen "$2:7100" --admin-listen "$2:7200" \
    --peer-listen "$2:7300" --platform "$platform" --failure-domain "$3" --region "$4" \
    --address-seconds 2 --drain-seconds 20 >"$logs/$1.log" 2>&1 &
  pids+=($!)
}

# wait_for INSTANCES SERVERS: waits until the instance at KUMQUATPLANK_ADMIN lists that many instances
# with configuration version 0 and that many backend servers.
wait_for() {
  local status
  for _ in $(seq 1 60); do
    status=$(bin/kumquatplank status 2>/dev/null || true)
    if [ "$(grep -c ' 0 *live' <<<"$status")" = "$1" ] &&
      [ "$(grep -cE ' (engine|service) ' <<<"$status")" = "$2" ]; then
      return
    fi
    sleep 0.3
  done
  echo "expected $1 instances and $2 backend servers, but they did not start; last log lines:" >&2
  tail -n 5 "$logs"/*.log >&2
  exit 1
}
