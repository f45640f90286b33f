"""A load of planned stops: VMs told to end and started again while clients ask them.

``python -m standins.stops --plan turn --unknown 2.2 --seed 1`` starts a store, targets
and VMs as separate processes on loopback. Some clients hold one connection and send
safe requests ahead on it, some keep a connection and send one request after another,
some open a connection for each. What became of requests is counted from outside: by
what clients saw and what targets ran.
"""
