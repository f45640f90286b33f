"""Scenario files: the deployment, the load and the faults of an experiment."""

from jsonschema import Draft202012Validator

from heathercleat._jsonc import loads

_NUMBER = {"type": "number", "exclusiveMinimum": 0}
_TARGET = {
    "type": "object",
    "required": ["failure_domain", "slots"],
    "additionalProperties": False,
    "properties": {
        "failure_domain": {"type": "string"},
        "slots": {"type": "integer", "minimum": 1},
    },
}
_FAULT = {
    "type": "object",
    "required": ["at_s", "kind"],
    "additionalProperties": False,
    "properties": {
        "at_s": {"type": "number", "minimum": 0},
        "for_s": _NUMBER,
        "kind": {
            "enum": [
                "kill_vm",
                "pause_vm",
                "stop_vm",
                "rolling_restart",
                "store_down",
                "slow_target",
                "cut_link",
                "delay_link",
            ]
        },
        "name": {"type": "string"},
        "seconds": _NUMBER,
    },
}
SCHEMA = {
    "type": "object",
    "required": ["seconds", "failure_domains", "vms", "targets", "clients"],
    "additionalProperties": False,
    "properties": {
        "seed": {"type": "integer"},
        "seconds": _NUMBER,
        "failure_domains": {
            "type": "object",
            "additionalProperties": {"type": "string"},
        },
        "vms": {"type": "object", "additionalProperties": {"type": "integer"}},
        "targets": {"type": "object", "additionalProperties": _TARGET},
        "clients": {"type": "object", "additionalProperties": _NUMBER},
        "keeping": {
            "type": "object",
            "additionalProperties": False,
            "properties": {
                "ahead": {"type": "integer", "minimum": 0},
                "kept": {"type": "integer", "minimum": 0},
            },
        },
        "work_s": _NUMBER,
        "learning_factor": {"type": "number", "minimum": 1},
        "remembered_objects": {"type": "integer", "minimum": 1},
        "objects": {"type": "integer", "minimum": 1},
        "aim_s": _NUMBER,
        "deadline_s": _NUMBER,
        "faults": {"type": "array", "items": _FAULT},
    },
}


class ScenarioError(Exception):
    """An invalid scenario file; the text has a line with the path of each error."""


class Fault:
    """One fault of a scenario.

    :param at_s: seconds from the start of the load.
    :param kind: a kind in :data:`SCHEMA`.
    :param for_s: duration in seconds; ``None`` if it is not undone.
    :param name: the VM, target or link affected.
    :param seconds: the delay of a link, or the work of a slow target per request.
    """

    __slots__ = ("at", "until", "kind", "name", "seconds")

    def __init__(self, at_s, kind, for_s=None, name=None, seconds=1.0):
        self.at = at_s
        self.until = None if for_s is None else at_s + for_s
        self.kind = kind
        self.name = name
        self.seconds = seconds

    def describe(self):
        """Return the text of the fault in the report."""
        until = "the end" if self.until is None else f"{self.until:g} s"
        return f"{self.at:g} s to {until}: {self.kind} {self.name or ''}".rstrip()


class Scenario:
    """A deployment, its load and its faults; durations are in seconds.

    :param document: the content of a scenario file, valid by :data:`SCHEMA`.
    :ivar length: of the load.
    :ivar failure_domains: the region of each.
    :ivar vms: number of VMs in each failure domain.
    :ivar targets: ``{name: (failure domain, slots)}``.
    :ivar clients: requests per second from each failure domain.
    :ivar pipelining: number of pipelining clients.
    :ivar persistent: number of other clients with a persistent connection.
    :ivar work: work of a target per request for a cached object.
    :ivar uncached_factor: factor of the work for an object that is not cached.
    :ivar cached_objects: number of objects that a target caches.
    :ivar objects: number of objects that are requested.
    """

    __slots__ = (
        "seed",
        "length",
        "failure_domains",
        "vms",
        "targets",
        "clients",
        "pipelining",
        "persistent",
        "work",
        "uncached_factor",
        "cached_objects",
        "objects",
        "latency_objective",
        "deadline",
        "faults",
    )

    def __init__(self, document):
        self.seed = document.get("seed", 1)
        self.length = document["seconds"]
        self.failure_domains = document["failure_domains"]
        self.vms = document["vms"]
        self.targets = {
            name: (target["failure_domain"], target["slots"])
            for name, target in document["targets"].items()
        }
        self.clients = document["clients"]
        keeping = document.get("keeping", {})
        self.pipelining = keeping.get("ahead", 0)
        self.persistent = keeping.get("kept", 0)
        self.work = document.get("work_s", 0.05)
        self.uncached_factor = document.get("learning_factor", 1.0)
        self.cached_objects = document.get("remembered_objects", 24)
        self.objects = document.get("objects", 50)
        self.latency_objective = document.get("aim_s", 0.3)
        self.deadline = document.get("deadline_s", 1.2)
        self.faults = [Fault(**fault) for fault in document.get("faults", [])]


def load_scenario(path):
    """Return the :class:`Scenario` of a file.

    :raises ScenarioError: when the scenario is invalid.
    :raises FindingsError: when the file is not JSON with comments.
    """
    document = loads(path.read_text(), str(path))
    findings = list(_findings(document))
    if findings:
        raise ScenarioError("\n".join(f"{path}: {finding}" for finding in findings))
    return Scenario(document)


def _findings(document):
    for error in Draft202012Validator(SCHEMA).iter_errors(document):
        location = "/".join(map(str, error.absolute_path)) or "the file"
        yield f"{location}: {error.message}"
        return
    for number, fault in enumerate(document.get("faults", ())):
        if fault["kind"] == "rolling_restart" and "for_s" in fault:
            yield f"faults/{number}: a rolling restart ends by itself"
    domains = document["failure_domains"]
    for part in ("vms", "clients"):
        for domain in document[part]:
            if domain not in domains:
                yield f"{part}/{domain}: no such failure domain"
    for name, target in document["targets"].items():
        if target["failure_domain"] not in domains:
            yield f"targets/{name}: no such failure domain"
