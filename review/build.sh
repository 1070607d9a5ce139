#!/bin/sh
# Builds the stand-ins of the cases with the standard library only, into target/review. The last two
# belong to no case; REPORT.md tells of them.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in leaving_replica new_replica pooler_goodbye late_order paused_restart stale_promotion client_gone; do
    rustc --edition 2024 -O "review/stand-ins/$name.rs" -o "target/review/$name"
done
