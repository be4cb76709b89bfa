#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec sh "$here/../stand-ins-2/run.sh" longer-prefix "$here"
