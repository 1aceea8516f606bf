#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin. The build of the deploy file comes first.
cd "$(dirname "$0")/.." && mkdir -p review/bin && go build -buildvcs=false -o review/bin/ ./review/rig
