#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -f ../build/Case2.class ] || { echo "run review/build.sh first"; exit 2; }
[ -f ../../pooler/target/frostreel.jar ] || { echo "run the build of the deploy file first"; exit 2; }
java -Xmx512m -XX:+UseSerialGC -cp ../build Case2 &
case_process=$!
trap 'kill "$case_process"' INT TERM
wait "$case_process"
# Codes of the case's own, so that a JVM that fails by itself is not taken for a broken rule.
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
