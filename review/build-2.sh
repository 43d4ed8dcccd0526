#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-driver ./review/6/standin
