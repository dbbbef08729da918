#!/bin/sh
# Builds the program of the second review's cases; the ingress itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/second"
mkdir -p bin
exec go build -o bin/ .
