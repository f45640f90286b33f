"""Adapter to the platform that the VMs run on.

This package alone knows the platform's wire names. It decodes them once into the types
of :mod:`heathercleat.steering` and holds no decision and no state of the product.
"""
