#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 runs the case without its disruption.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/harness3 ] || ! [ -x target/magnoliaknot ]; then
  echo "build first: the build of deploy/system.toml, then review/build-3.sh"
  exit 2
fi
exec target/harness3 case neighbour-stops --daemon target/magnoliaknot --record review/12/record.txt
