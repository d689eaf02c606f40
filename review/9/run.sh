#!/usr/bin/env bash
# Case 9. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/stand-ins-2/target/release/answer_stops_short review/9
