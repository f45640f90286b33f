"""Adapter to the platform that the VMs run on.

Converts the platform's formats to the types of :mod:`heathercleat.steering`. No other
package uses the names of the platform's formats, and this one holds no state.
"""
