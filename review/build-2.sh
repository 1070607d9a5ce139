#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the standard library only, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in lost_answer new_replica_lost_pooler; do
    rustc --edition 2024 -O "review/stand-ins-2/$name.rs" -o "target/review-2/$name"
done
