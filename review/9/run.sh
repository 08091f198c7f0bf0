#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build-2.sh. Writes record.txt here.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review-2/release/stand-ins-2"
if [ ! -x "$program" ]; then
    echo "run review/build-2.sh first" >&2
    exit 2
fi
exec "$program" slow-reader "$root" "$folder"
