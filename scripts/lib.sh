# Functions shared by the scripts. Requires only bash and POSIX tools.
#
# Every process that a script starts is recorded with its process ID and stopped by that ID when the script ends, also
# after an error. Every wait has a time limit.

# Time limit of each wait, in seconds.
WAIT_LIMIT_S=60

pids=()
names=()
work_dir=$(mktemp -d)

# Prints a message to standard error and ends the script.
fail() {
    echo "error: $*" >&2
    exit 1
}

# Waits until a command succeeds: wait_for WHAT COMMAND...
wait_for() {
    local what=$1 deadline=$((SECONDS + WAIT_LIMIT_S))
    shift
    until "$@"; do
        ((SECONDS < deadline)) || fail "timed out after $WAIT_LIMIT_S s waiting for $what"
        sleep 0.05
    done
}

# Starts a process that prints its addresses in its first line of output: start NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" &
    pids+=($!)
    names+=("$name")
    wait_for "the addresses of $name" has_line "$name" $!
}

has_line() {
    [ -s "$work_dir/$1.out" ] && return
    kill -0 "$2" 2>/dev/null || {
        cat "$work_dir/$1.log" >&2
        fail "$1 exited during startup"
    }
    return 1
}

# Prints an address from the first line of output of a process: address NAME FIELD
address() {
    sed -n '1s/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$work_dir/$1.out"
}

# Prints the process ID of a started process: pid_of NAME
pid_of() {
    local index
    for index in "${!names[@]}"; do
        if [ "${names[$index]}" = "$1" ]; then echo "${pids[$index]}"; fi
    done
}

has_exited() {
    ! kill -0 "$1" 2>/dev/null
}

# Stops a process by its ID and sets exit_code: stop NAME
stop() {
    local pid
    pid=$(pid_of "$1")
    kill -TERM "$pid"
    wait_for "the exit of $1" has_exited "$pid"
    exit_code=0
    wait "$pid" || exit_code=$?
}

cleanup() {
    local code=$? pid
    trap - EXIT
    if ((code != 0)); then
        echo "logs of the processes are in $work_dir" >&2
        tail -n 5 "$work_dir"/*.log >&2 || true
    fi
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    local deadline=$((SECONDS + 10))
    for pid in "${pids[@]}"; do
        while ! has_exited "$pid" && ((SECONDS < deadline)); do
            sleep 0.05
        done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    ((code != 0)) || rm -rf "$work_dir"
    exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Sends an HTTP request and prints the response with its head: http METHOD ADDRESS PATH BODY [HEADER...]
#
# The end of the body is determined by its length or its last chunk, because a server may keep the connection open.
http() {
    local method=$1 address=$2 path=$3 body=$4 header
    shift 4
    exec 3<>"/dev/tcp/${address%:*}/${address##*:}" || return
    {
        printf '%s %s HTTP/1.1\r\nhost: %s\r\n' "$method" "$path" "$address"
        printf 'content-type: application/json\r\ncontent-length: %d\r\n' "${#body}"
        for header in "$@"; do printf '%s\r\n' "$header"; done
        printf '\r\n%s' "$body"
    } >&3
    local code=0
    read_response || code=$?
    exec 3<&- 3>&-
    return "$code"
}

# Copies one response from file descriptor 3 to standard output and decodes a chunked body.
read_response() {
    local LC_ALL=C line length=0 is_chunked=
    while IFS= read -r -t "$WAIT_LIMIT_S" line <&3; do
        printf '%s\n' "$line"
        case $(printf '%s' "$line" | tr 'A-Z' 'a-z') in
        content-length:*) length=${line#*:} length=${length//[!0-9]/} ;;
        transfer-encoding:*chunked*) is_chunked=1 ;;
        $'\r') break ;;
        esac
    done
    [ "${line-}" = $'\r' ] || return 1
    if [ -z "$is_chunked" ]; then
        read_bytes "$length"
        return
    fi
    while IFS= read -r -t "$WAIT_LIMIT_S" line <&3; do
        length=$((16#${line%$'\r'}))
        ((length > 0)) || return 0
        read_bytes "$length" || return 1
        IFS= read -r -t "$WAIT_LIMIT_S" line <&3 || return 1
    done
    return 1
}

# Copies bytes from file descriptor 3 to standard output: read_bytes COUNT
read_bytes() {
    local data=
    (($1 == 0)) || IFS= read -r -N "$1" -t "$WAIT_LIMIT_S" data <&3 || return 1
    printf '%s' "$data"
}

# Prints the status code of the response on standard input.
status_of() {
    sed -n '1s/^HTTP\/1.1 \([0-9]*\).*/\1/p'
}

# Prints the body of the response on standard input.
body_of() {
    sed '1,/^\r$/d'
}

# Writes the settings of one router: write_settings VM DATA_CENTRE PLATFORM_ADDRESS
write_settings() {
    cat >"$work_dir/$1.yaml" <<YAML
vm: $1
data_centre: $2
listen: {callers: '127.0.0.1:0', admin: '127.0.0.1:0', peers: '127.0.0.1:0'}
platform: {log: '$3', vm_list: '$3', weight_store: '$3'}
YAML
}

is_ready() {
    [ "$(http GET "$1" /readyz '' 2>/dev/null | status_of)" = 200 ]
}
