#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
[ -x "$root/target/review/stand-ins" ] || { echo "run review/build.sh first"; exit 2; }
exec "$root/target/review/stand-ins" 1 "$root"
