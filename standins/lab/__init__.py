"""Experiments on steering VMs: a scenario in, tables and a plot out.

``python -m standins.lab run examples/lab.jsonc build/lab/one`` starts a store, targets
and VMs as separate processes, sends requests at random instants whatever the answers
take, injects the scenario's faults, and writes ``report.md``, ``plot.svg`` and
``report.json``. ``python -m standins.lab compare BEFORE.json AFTER.json`` puts two side
by side.
"""
