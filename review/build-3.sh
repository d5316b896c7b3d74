#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python: there is nothing to build. Fails where python3 is missing.
set -euo pipefail
python3 -c 'import asyncio, sys; assert sys.version_info >= (3, 9)'
