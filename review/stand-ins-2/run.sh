#!/bin/sh
# Runs a script's program: run.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case couldn't run or was ended. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-stand-ins-2/release/review-2
node=target/release/molespan-platform
if [ ! -x "$case" ] || [ ! -x "$node" ]; then
    echo "not built: run the build of deploy/system.toml and review/build-2.sh"
    exit 2
fi
node=$(readlink -f "$node")
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_FOLDER
child=

# Ends what is left of the processes that the case started.
finish() {
    trap '' TERM INT HUP
    [ -z "$child" ] || kill -KILL "$child" 2>/dev/null
    if [ -f "$REVIEW_FOLDER/processes" ]; then
        while read -r id; do
            [ "$(readlink "/proc/$id/exe" 2>/dev/null)" = "$node" ] && kill -KILL "$id" 2>/dev/null
        done <"$REVIEW_FOLDER/processes"
    fi
    sleep 0.1
    rm -rf "$REVIEW_FOLDER"
}

trap 'finish; exit 2' TERM INT HUP
"$case" "$1" "$2/record.txt" &
child=$!
wait "$child"
code=$?
child=
finish
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
