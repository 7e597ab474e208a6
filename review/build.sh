#!/bin/sh
# Builds the stand-ins of the cases into bin/. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -buildvcs=false -tags review -o bin/review-standin ./review/standin
