#!/usr/bin/env bash
# Builds the stand-ins and cases under review/standins; needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/standins/review/*.java
