#!/bin/sh
# Builds the stand-ins of all cases. Needs nothing but the JDK; run it after the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/harness"
rm -rf out
javac -Xlint:all -d out ./*.java
