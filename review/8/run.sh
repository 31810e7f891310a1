#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 110 review/stand_ins_2/out/play-8 review/8/record.txt "$folder"
status=$?
[ -n "$KEEP" ] && cp "$folder"/*.log "$KEEP"
rm -rf "$folder"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
