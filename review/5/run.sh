#!/bin/sh
# The entry of a replica is removed when the reading hosts are killed, after the store was down (about 95 s).
# Ends with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/kit ] && [ -x target/release/quetzal-platform ] || {
  echo "build first: the build of the deploy file, then review/build.sh" >&2
  exit 2
}
exec target/review/kit removed review/5
