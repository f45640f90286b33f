"""Runs the benchmarks and fails when a bound is exceeded: ``make bench``.

Bounds apply to the ratio to a baseline of the same run, since the speed of machines
varies. ``python -m bench.run slots spill`` runs only the benchmarks named.
"""

import sys

from bench.control import (
    bench_at_most_once,
    bench_claims,
    bench_configuration,
    bench_log,
    bench_text,
)
from bench.places import bench_places
from bench.quarantine import bench_quarantine
from bench.report import Report
from bench.routing import (
    bench_drain,
    bench_overload,
    bench_slots,
    bench_slow,
    bench_spill,
    bench_surge,
    bench_takeover,
)
from bench.stops import bench_stops

BENCHES = {
    "slots": bench_slots,
    "overload": bench_overload,
    "spill": bench_spill,
    "surge": bench_surge,
    "slow": bench_slow,
    "claims": bench_claims,
    "once": bench_at_most_once,
    "configuration": bench_configuration,
    "drain": bench_drain,
    "takeover": bench_takeover,
    "places": bench_places,
    "quarantine": bench_quarantine,
    "stops": bench_stops,
    "log": bench_log,
    "text": bench_text,
}


def main():
    """Run the benchmarks named in the arguments, or all of them."""
    report = Report()
    for name in sys.argv[1:] or BENCHES:
        BENCHES[name](report)
    report.write()
    sys.exit(0 if report.passed else 1)


if __name__ == "__main__":
    main()
