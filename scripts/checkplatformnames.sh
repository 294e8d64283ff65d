#!/bin/sh
# Fails when names of the users' platform (its store keys, API calls, fields and variables) appear
# outside platform/ and deploy/. The patterns are split by quotes so that the script does not match
# itself.
set -eu
cd "$(dirname "$0")/.."
names='serv''ers/i-|op/(con''fig|evac''uate)|kv-(t''xn|ra''nge|k''ey|wat''ch|ke''ep|lea''se)|cold_rem''aining|data''gram_addr|BANYANWALL_BO''OT'
names="$names"'|te''nant|cold_per''_s|health_pa''th|store_rev''ision|forwarding_mo''de|flow_ha''sh'
if git grep -nIE "$names" -- src scripts examples | grep -v '/generated/'; then
    echo "names of the users' platform are allowed in platform/ and deploy/ only" >&2
    exit 1
fi
