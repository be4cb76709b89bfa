#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
name=$1
record=$2/record.txt
root=$(cd "$(dirname "$0")/.." && pwd)
case=$root/target/review/release/review-case
if [ ! -x "$case" ] || [ ! -x "$root/target/release/molespan-platform" ]; then
    echo "not built: run the build of deploy/system.toml and review/build.sh"
    exit 2
fi
folder=$(mktemp -d)
finish() {
    # Ends what is left of the processes that the case started.
    if [ -f "$folder/processes" ]; then
        while read -r id; do
            if [ "$(readlink "/proc/$id/exe" 2>/dev/null)" = "$root/target/release/molespan-platform" ]; then
                kill -KILL "$id" 2>/dev/null
            fi
        done <"$folder/processes"
    fi
    rm -rf "$folder"
}
trap finish EXIT
timeout 115 "$case" "$name" "$root" "$folder" "$record"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
