#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program, which needs no package beside the standard library.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin/review-2 && exec go build -buildvcs=false -o bin/review-2/ ./review/rig2
