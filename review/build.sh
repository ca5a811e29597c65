#!/bin/sh
# Builds the stand-ins of the cases, with the JDK alone, into review/build (ignored by git).
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -d build lib/*.java $(ls [0-9]/*.java 2>/dev/null || true)
