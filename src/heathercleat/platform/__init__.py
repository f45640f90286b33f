"""Adapter to the platform that the VMs run on.

Converts the platform's formats to the types of :mod:`heathercleat.steering`. No other
package uses the names of the platform's formats, and the only state here is the
connection to the store.
"""
