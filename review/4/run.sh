#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not be played.
cd "$(dirname "$0")" && exec timeout --preserve-status -k 5 115 python3 case.py .
