#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin2 ./review/_standin2
