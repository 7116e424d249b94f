#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into target/review-3/. The
# project's own program is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/stand3
