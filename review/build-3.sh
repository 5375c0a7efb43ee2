#!/bin/bash
# Builds the stand-ins that the scripts of the third review start. The build of the deploy file comes before it.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-world3 ./review/world3
