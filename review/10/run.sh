#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/review/second/bin/second" ] && [ -x "$root/bin/hitchspring" ] || {
    echo "build first: the line build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
}
exec "$root/review/second/bin/second" head "$root" "$here/record.txt"
