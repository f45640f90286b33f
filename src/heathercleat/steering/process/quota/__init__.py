"""Limits on the requests of workspaces, kept by all VMs together.

All VMs together act as one token bucket per workspace. Each VM keeps the level of the
bucket from its own requests and from the counts that the others report, so that a
workspace may use its whole limit at any VM. What a VM admits before the others know of
it is limited too, so that the sum stays bounded also while VMs cannot hear each other.
"""
