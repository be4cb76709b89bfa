#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run or was interrupted. TROUBLE=0 leaves the disruption out.
name=$1
record=$2/record.txt
root=$(cd "$(dirname "$0")/.." && pwd)
case=$root/target/review/release/review-case
program=$root/target/release/molespan-platform
if [ ! -x "$case" ] || [ ! -x "$program" ]; then
    echo "not built: run the build of deploy/system.toml and review/build.sh"
    exit 2
fi
folder=$(mktemp -d)
child=

# Whether a process that the case started still runs.
runs() {
    [ "$(readlink "/proc/$1/exe" 2>/dev/null)" = "$program" ]
}

# Ends what is left of the processes that the case started, and waits for their end.
finish() {
    trap '' TERM INT HUP
    if [ -n "$child" ]; then
        kill -TERM "$child" 2>/dev/null
        wait "$child" 2>/dev/null
    fi
    if [ -f "$folder/processes" ]; then
        while read -r id; do
            runs "$id" && kill -KILL "$id" 2>/dev/null
        done <"$folder/processes"
        while read -r id; do
            for _ in 1 2 3 4 5 6 7 8 9 10; do
                runs "$id" || break
                sleep 0.1
            done
        done <"$folder/processes"
    fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' TERM INT HUP

timeout -k 2 110 "$case" "$name" "$root" "$folder" "$record" &
child=$!
wait "$child"
status=$?
child=
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
