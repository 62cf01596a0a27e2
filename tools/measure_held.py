"""Measure the memory of an entry process whose upstreams answer without an end.

Usage: python tools/measure_held.py [--cells body,event] [--callers 300] [--allocations]
"""

from __future__ import annotations

import argparse
import json
import sys

from shallotpath.forwarding.tests.held import CELLS, Load, measure


def main() -> int:
    """Measure the chosen cells and print one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cells", default=",".join(CELLS))
    parser.add_argument("--upstreams", type=int, default=16)
    parser.add_argument("--sound", type=int, default=4)
    parser.add_argument("--callers", type=int, default=300)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--allocations", action="store_true", help="trace allocations (slow)"
    )
    options = vars(parser.parse_args())
    cells = options.pop("cells").split(",")
    load = Load(**options)
    for cell in cells:
        figures = measure(load, cell)
        print(json.dumps({"cell": cell, "callers": load.callers, **figures}))
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
