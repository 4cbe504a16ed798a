#!/bin/sh
# TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
