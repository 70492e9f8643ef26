#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. Needs the result of the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:-options --release 17 -cp target/tarragonlug-0.1.0.jar -d target/review-2 review/standins-2/review2/*.java

# Stand-ins and trials of the third review.
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:-options --release 17 -cp target/tarragonlug-0.1.0.jar -d target/review-3 review/standins-3/*.java
