# What the measurements share; sourced at the root of the tree.
readonly bin=${CARDAMOMCHUTE_BIN:-$PWD/build/bin}
readonly port_base=${CARDAMOMCHUTE_PORT_BASE:-16000}
readonly ticks_per_s=$(getconf CLK_TCK)

# Builds unless CARDAMOMCHUTE_BIN names programs that are built already.
build_programs() {
  if [ -z "${CARDAMOMCHUTE_BIN:-}" ]; then scripts/build; fi
}

# Processor time of processes so far, in ticks: user and system.
cpu_ticks() { # PID ...
  local pid total=0 rest fields
  for pid in "$@"; do
    rest=$(cat "/proc/$pid/stat")
    read -r -a fields <<<"${rest##*) }"
    total=$((total + fields[11] + fields[12]))
  done
  echo "$total"
}

resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

# Waits until a TCP port takes connections.
wait_port() { # PORT
  local deadline=$((SECONDS + 10))
  until (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.05
  done
}

# Ends processes that this measurement started, by their ids.
end_pids() {
  local pid
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}

# Key of `scripts/site`'s site.env.
site_value() { # RUN KEY
  sed -n "s/^$2=//p" "$1/site.env"
}

# The entry VM that owns a group.
owner_of() { # RUN GROUP
  "$bin/cardamomchute" status --environment "$(site_value "$1" environment)" \
    --server "$(site_value "$1" http)" | awk -v group="$2" '$1 == group { print $4 }'
}
