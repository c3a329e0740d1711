# Starts stand-ins and entry hosts of three halls on loopback. To be read by
# `demo.sh`, which sets `bin` and `demo`. Everything that it starts ends with them.

logs=$(mktemp -d)
pids=()

finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap finish EXIT

start() {
    "$@" 2>"$logs/${#pids[@]}.log" &
    pids+=($!)
}

start $bin/standin-platform --settings $demo/platform.toml
start $bin/standin-workers --settings $demo/workers.toml
for settings in $demo/entry-*.toml; do
    start $bin/gannetridge-entry --settings "$settings"
done
operate() { $bin/gannetridge --settings $demo/operator.toml "$@"; }

# Hosts answer from the start, and need some seconds to divide the shards.
for _ in $(seq 50); do
    if operate status >/dev/null 2>&1; then break; fi
    sleep 0.1
done
for hall in ulemiste-a ulemiste-b kopli; do
    operate apply "hall/$hall" $demo/hall.toml
done
operate apply template/turn-resolver $demo/template.toml
operate apply account/kaiguvalgus $demo/account.toml --read-at 0
operate follow 5
sleep 6
operate status
