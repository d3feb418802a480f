#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the JDK alone. To be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/harness-2"
rm -rf target
mkdir target
javac -nowarn -encoding UTF-8 -d target src/rig/*.java
