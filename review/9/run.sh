#!/usr/bin/env bash
# A first config with version 0 is acknowledged and read back, but never in force: no
# request is served. Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0: the same config with version 1.
cd "$(dirname "$0")/../.." || exit 2
program=target/release/cyclamen-node
standins=target/review-2/release/standins-2
[ -x "$program" ] && [ -x "$standins" ] || exit 2
exec "$standins" first-config review/9/record.txt "$program"
