#!/usr/bin/env bash
# Builds the program that plays the scripts of the review: the stand-ins of the platform, the
# database servers and the clients.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-stage ./review/stage
