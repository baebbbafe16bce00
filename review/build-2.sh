#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/ ./review/cell2
