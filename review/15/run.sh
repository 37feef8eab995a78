#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../standins_3 exec python3 -u case.py
