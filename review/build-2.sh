#!/bin/sh
# Builds the stand-in of all cases of the second review. The build of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && exec go build -buildvcs=false -tags review -o bin/review-rig2 ./review/rig2
