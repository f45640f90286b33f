"""Load test of planned stops: VMs are restarted while clients send requests.

``python -m standins.stops --plan turn --unknown 2.2 --seed 1`` starts a store, targets
and VMs as separate processes on loopback. Some clients pipeline safe requests on one
connection, some send one request at a time on a persistent connection, and some open a
connection per request. Outcomes are counted from the observations of clients and the
run records of targets.
"""
