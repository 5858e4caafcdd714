#!/usr/bin/env bash
# Runs the whole system on loopback: 4 gateways and 10 agents in 3 failure domains of 2 regions, before stand-ins for
# the platform. Publishes two versions, serves streams and bookings, takes a failure domain out and back, and stops a
# gateway and an agent as planned. Prints one table and exits with 1 when any step did not go as it should.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
for t in curl jq; do
  command -v $t >/dev/null || { apt-get update -qq && apt-get install -y -qq $t >/dev/null; }
done

size=${DEMO_SIZE:-$((64 << 20))}
dir=$(mktemp -d)
pids=()
failed=0
finish() {
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$failed" != 0 ] || [ -n "${DEMO_KEEP:-}" ]; then echo "logs: $dir"; else rm -rf "$dir"; fi
}
trap 'failed=1; echo "line $LINENO failed" >&2' ERR
trap finish EXIT

begun=$(date +%s%N)
rows=()
step_begun=$begun
# row STEP ASKED RESULT OK adds a row to the table.
row() {
  local now ok=ok
  now=$(date +%s%N)
  [ "$4" = true ] || { ok=FAILED; failed=1; }
  rows+=("$(printf '%-22s | %-44s | %-58s | %6.1f s | %s' "$1" "$2" "$3" "$(((now - step_begun) / 100000000))e-1" "$ok")")
  step_begun=$now
}
start() { # start NAME PROGRAM ARGS...
  local name=$1
  shift
  "$bin/$1" "${@:2}" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}
wait_for() { # wait_for SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || { echo "timed out: $*" >&2; return 1; }
    sleep 0.1
  done
}

mapfile -t port < <("$bin/eelgrass-standin" ports 60)
next=0
take() { taken=127.0.0.1:${port[next]}; next=$((next + 1)); }

take; log=$taken
take; list=$taken
take; origin=$taken
start log eelgrass-standin log --listen "$log"
start instances eelgrass-standin instances --listen "$list" --lag 1s
# The origin carries 4 copies in the time in which an instance's link carries 2.
start origin eelgrass-standin origin --listen "$origin" --bytes-per-second $((size / 2))
for a in "$log/stats" "$list/v1/instances" "$origin/stats"; do wait_for 10 curl -sf "http://$a"; done

register() { # register NAME KIND DOMAIN REGION ADDRESS SERVES
  curl -sf -X PUT "http://$list/v1/instances/$1" -d "$(jq -nc --arg n "$1" --arg k "$2" --arg d "$3" --arg r "$4" \
    --arg a "$5" --arg s "$6" '{name:$n,kind:$k,"failure-domain":$d,region:$r,address:$a,state:"live"}
      + (if $s == "" then {} else {serves:$s} end)')" >/dev/null
}

region() { case $1 in damanhur) echo beheira ;; *) echo gharbia ;; esac; }
bootstrap=test-key-bootstrap
domains=(tanta tanta mansoura damanhur)
callers=() operators=() relays=() peers=()
for i in 0 1 2 3; do
  take; callers+=("$taken")
  take; operators+=("$taken")
  take; relays+=("$taken")
  take; peers+=("$taken")
done
for i in 0 1 2 3; do
  d=${domains[i]}
  start "gateway-$i" eelgrass-gateway --instance "gateway-$i" --failure-domain "$d" --region "$(region "$d")" \
    --callers "${callers[i]}" --operators "${operators[i]}" --relay "${relays[i]}" --peers "${peers[i]}" \
    --known-gateways "$(IFS=,; echo "${relays[*]}")" --log-url "http://$log" --instances-url "http://$list" \
    --balancer-wait 1s --bootstrap-key-digest "$(printf %s $bootstrap | sha256sum | cut -d' ' -f1)"
  register "gateway-$i" gateway "$d" "$(region "$d")" "${relays[i]}" ""
done
agent() { # agent NAME DOMAIN SERVES TARGET
  local relay=()
  for i in 0 1 2 3; do [ "${domains[i]}" != "$2" ] || relay+=("${relays[i]}"); done
  take; local listen=$taken
  take; local loop=$taken
  start "agent-$1" eelgrass-agent --instance "$1" --failure-domain "$2" --region "$(region "$2")" --serves "$3" \
    --listen "$listen" --local "$loop" --target-url "http://$4" --gateways "$(IFS=,; echo "${relay[*]}")" \
    --log-url "http://$log" --origin-url "http://$origin" --origin-region gharbia --link-rate $((size / 4)) \
    --cold-limit 8
  register "$1" agent "$2" "$(region "$2")" "$listen" "$3"
}
engines=(tanta tanta tanta mansoura mansoura mansoura damanhur damanhur)
services=() engine_urls=()
for i in "${!engines[@]}"; do
  take; engine_urls+=("$taken")
  start "engine-$i" eelgrass-standin engine --listen "$taken"
  agent "engine-$i" "${engines[i]}" model/assistant "$taken"
done
i=0
for d in tanta mansoura; do
  take; services+=("$taken")
  start "service-$i" eelgrass-standin service --listen "$taken"
  agent "service-$i" $d service/booking "$taken"
  i=$((i + 1))
done
for a in "${operators[@]}"; do wait_for 10 bash -c ": </dev/tcp/${a%:*}/${a#*:}"; done
row start "stand-ins, 4 gateways, 10 agents" "all listen" true

ctl() { EELGRASS_KEY=${key:-test-key-amal} "$bin/eelgrassctl" --gateway "$(IFS=,; echo "${operators[*]}")" "$@"; }
yaml=$dir/demo.yaml
sed 's/region: dakahlia/region: gharbia/' examples/cooperative.yaml >"$yaml"
key=$bootstrap ctl apply -f "$yaml" >"$dir/apply.out"
row apply "examples/cooperative.yaml" "$(grep -o 'accepted.*' "$dir/apply.out" | head -1)" true

publish() { # publish VERSION
  head -c "$size" /dev/urandom >"$dir/$1.bin"
  ctl publish --model assistant --version "$1" --origin "http://$origin" --declare "$dir/$1.bin" >"$dir/publish-$1.out"
  rm "$dir/$1.bin"
}
sent() { curl -sf "http://$origin/stats" | jq '.["bytes-sent"]'; }
serving() { # serving VERSION COUNT
  [ "$(ctl get endpoint -o json | jq --arg v "$1" '[.. | objects | select(.serves? == "model/assistant" and .version? == $v and .state? == "ready")] | length')" = "$2" ]
}
finished() { ctl rollout status "$1" -o json | grep -q '"phase": *"done"'; }
copies() { awk "BEGIN{printf \"%.2f\", $1/$size}"; }

publish v1
row "publish v1" "$((size >> 20)) MiB of random bytes" "stored and declared" true
before=$(sent)
ctl rollout start first --model assistant --version v1 --max-out 4 --lease 1m >/dev/null
wait_for 40 serving v1 8
n=$(copies $(($(sent) - before)))
row "roll out v1" "8 endpoints in 3 failure domains" "8 ready, $n copies from the origin" "$(awk "BEGIN{print ($n<=4)?\"true\":\"false\"}")"
wait_for 20 finished first

answer=$(curl -sN -D "$dir/headers" "http://${callers[0]}/v1/chat/completions" -H "Authorization: Bearer test-key-website" \
  -d '{"model":"assistant","messages":[{"role":"user","content":"How much grit do hens need?"}],"max_tokens":32,"stream":true}')
version=$(tr -d '\r' <"$dir/headers" | awk 'tolower($1)=="eelgrass-version:"{print $2}')
events=$(grep -c '^data: {' <<<"$answer")
row stream "32 tokens" "$events events from version $version, end $(tail -n 2 <<<"$answer" | tr -d '\n')" \
  "$([ "$events" = 32 ] && [ "$version" = v1 ] && grep -q '^data: \[DONE\]' <<<"$answer" && echo true || echo false)"

book() {
  curl -s "http://${callers[$1]}/booking/bookings" -H "Authorization: Bearer test-key-front-desk" \
    -H "Idempotency-Key: demo-reservation-1" -d '{"key":"coop-7"}'
}
a=$(book 0)
b=$(book 2)
runs=0
for s in "${services[@]}"; do runs=$((runs + $(curl -sf "http://$s/stats" | jq .executions))); done
row booking "one key sent to two gateways" "same answer, $runs execution" "$([ "$a" = "$b" ] && [ "$runs" = 1 ] && echo true || echo false)"

cat >"$dir/accounts.json" <<'J'
{"accounts":[
 {"name":"website","key":"test-key-website","chat-per-second":14,"model":"assistant","max-tokens":24,"prompts":8},
 {"name":"mobile-app","key":"test-key-mobile-app","chat-per-second":20,"model":"assistant","max-tokens":16,"prompts":8},
 {"name":"front-desk","key":"test-key-front-desk","calls-per-second":4,"reads-per-second":4,"prefix":"/booking/","keyed":1}]}
J
publish v2
row "publish v2" "$((size >> 20)) MiB of random bytes" "stored and declared" true
before=$(sent)
urls=$(printf 'http://%s,' "${callers[@]}")
stats=$(printf 'http://%s/stats,' "${services[@]}")
"$bin/eelgrass-standin" load --targets "${urls%,}" --accounts "$dir/accounts.json" --duration 25s --versions v1,v2 \
  --services "${stats%,}" --json "$dir/load.json" >"$dir/load.out" 2>&1 &
load=$!
pids+=($load)
ctl rollout start second --model assistant --version v2 --steps tanta/mansoura,damanhur --max-out 1 --lease 1m >/dev/null
wait_for 45 finished second
n=$(copies $(($(sent) - before)))
row "roll out v2" "under traffic, 2 steps, one endpoint out" "8 on v2, $n copies from the origin" "$(serving v2 8 && awk "BEGIN{print ($n<=4)?\"true\":\"false\"}")"

inside() { for i in 0 1 2; do curl -sf "http://${engine_urls[i]}/stats" | jq '.served + .["in-flight"]'; done | paste -sd' '; }
ctl domain out tanta --reason "power work" >/dev/null
sleep 3
x=$(inside)
sleep 2
y=$(inside)
row "domain out" "tanta: no new work after 3 s" "requests taken: $x, 2 s later: $y" "$([ "$x" = "$y" ] && echo true || echo false)"
ctl domain in tanta >/dev/null
wait_for 6 bash -c "[ \"\$(for i in ${engine_urls[0]} ${engine_urls[1]} ${engine_urls[2]}; do curl -sf http://\$i/stats | jq '.served + .[\"in-flight\"]'; done | paste -sd' ')\" != '$y' ]"
row "domain in" "tanta serves again within 6 s" "it does" true

stopped() { ! kill -0 "$1" 2>/dev/null; }
kill -TERM "$pid_gateway_1"
wait_for 20 stopped "$pid_gateway_1"
row "stop a gateway" "SIGTERM to gateway-1" "ended as planned" true
kill -TERM "$pid_agent_engine_7"
wait_for 20 stopped "$pid_agent_engine_7"
row "stop an agent" "SIGTERM to the agent of engine-7" "ended as planned" true

wait $load || true
sum() { jq "[.rows[].outcomes[\"$1\"] // 0] | add" "$dir/load.json"; }
total=$(jq '[.rows[].sent] | add' "$dir/load.json")
lost=$(($(sum lost) + $(sum failed)))
wrong=$(($(sum wrong-version) + $(sum wrong-content)))
repeated=$(jq '.audit.repeated + .audit["run-though-refused"] + .audit["answered-not-run"]' "$dir/load.json")
row traffic "$total requests" "whole $(sum whole), refused with Retry-After $(sum refused)" true
row "requests lost" 0 "$lost" "$([ "$lost" = 0 ] && echo true || echo false)"
row "wrong answers" 0 "$wrong (another version or other bytes)" "$([ "$wrong" = 0 ] && echo true || echo false)"
row "bookings" "none run twice or against its answer" "$repeated" "$([ "$repeated" = 0 ] && echo true || echo false)"

echo
printf '%s\n' "${rows[@]}"
printf '\ntotal %d s\n' $((($(date +%s%N) - begun) / 1000000000))
exit $failed
