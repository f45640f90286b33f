"""Target capacity: slots, leases, queues, admission control and health checks."""
