"""Builds the budget for bodies with its parts, and reads its gauges."""

from heathercleat.steering.process.memory.budget import MemoryBudget
from heathercleat.steering.process.memory.outputs import OutputMonitor
from heathercleat.steering.process.memory.response_sizes import ResponseSizes
from heathercleat.steering.process.memory.responses import ResponseMemory

#: A response is expected to use at most this fraction of the memory for large ones.
MAX_ESTIMATE_SHARE = 0.25


def new_budget(memory, journal, clock):
    """Return a :class:`MemoryBudget` with its :class:`ResponseMemory`.

    :param memory: memory limit of the process, in bytes.
    """
    budget = MemoryBudget(memory, journal, clock)
    sizes = ResponseSizes(int(MAX_ESTIMATE_SHARE * budget.largest))
    monitor = OutputMonitor(budget, journal, clock)
    budget.responses = ResponseMemory(budget, sizes, monitor, journal, clock)
    return budget


def memory_gauges(body_memory):
    """Return the gauges of a :class:`MemoryBudget`; none for a :class:`BodyMemory`."""
    if body_memory.responses is None:
        return {}
    return {
        "memory_limit": int(body_memory.limit),
        "memory_requests": body_memory.request_bytes,
        "memory_responses": body_memory.response_bytes,
        "responses_dropped": body_memory.responses.monitor.dropped_count,
    }
