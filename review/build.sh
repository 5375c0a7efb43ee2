#!/bin/bash
# Builds the stand-ins of the scripted cases.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review/ ./review/standin
