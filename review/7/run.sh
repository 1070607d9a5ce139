#!/bin/sh
# A new database's first heartbeat is late; the replicas receive nothing, the primary and a machine are lost.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without trouble.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
stand_in=target/review-2/new_replica_lost_pooler
program=target/release/silvertack
if [ ! -x "$stand_in" ] || [ ! -x "$program" ]; then
    echo "build the program and run review/build-2.sh first"
    exit 2
fi
exec "$stand_in" "$program" "$here"
