#!/bin/sh
# Runs the case from the repository's root, after the build of the deploy file.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 118 python3 -B review/13/case.py
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
