#!/usr/bin/env bash
# Prepares what the review's scripts start besides the deployed program: the
# project's own emulated store and cloud API, and the review's servers, clients
# and proxies. Needs no network; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R src/turmericcroft_lab target/review/
cp review/lib/*.py target/review/
PYTHONPATH=target/deps:target/review python3 -m compileall -q target/review
PYTHONPATH=target/deps:target/review python3 -c "import standins"
