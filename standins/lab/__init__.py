"""Experiments on steering VMs, described by scenario files.

``python -m standins.lab run examples/lab.jsonc build/lab/one`` starts a store, targets
and VMs as separate processes, sends an open-loop load, injects the scenario's faults
and writes ``report.md``, ``plot.svg`` and ``report.json``.
``python -m standins.lab compare BEFORE.json AFTER.json`` compares two reports.
"""
