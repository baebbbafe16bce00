#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the modules that the build of the deploy file has read.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -o target/review/ ./review/driver
