#!/usr/bin/env bash
# Builds the programs of the cases: stand-ins, clients and checks. It needs Go alone and no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o bin/ ./cmd/...
