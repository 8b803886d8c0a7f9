#!/usr/bin/env bash
# Runs the case "poison" of review/standin. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/magnoliaknot ] && [ -x target/reviewstandin ] || exit 2
exec target/reviewstandin -case poison -trouble "${TROUBLE:-1}" -record review/2/record.txt -daemon target/magnoliaknot
