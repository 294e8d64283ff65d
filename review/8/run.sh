#!/bin/sh
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: with whole numbers only.
cd "$(dirname "$0")" && exec python3 fraction.py
