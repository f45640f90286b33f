"""Scenario files: what runs, who asks for what, and what fails when."""

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
    """A scenario that does not make sense; the text names the place and the fault."""


class Fault:
    """One fault of a scenario.

    :param at: seconds from the start of the load.
    :param until: seconds at which it ends; ``None`` when it does not.
    :param kind: one of those in :data:`SCHEMA`.
    :param name: the VM, target or link that it hits.
    :param seconds: how strong it is: a delay, or the time that a slow target takes.
    """

    __slots__ = ("at", "until", "kind", "name", "seconds")

    def __init__(self, at_s, kind, for_s=None, name=None, seconds=1.0):
        self.at = at_s
        self.until = None if for_s is None else at_s + for_s
        self.kind = kind
        self.name = name
        self.seconds = seconds

    def describe(self):
        """Return a line for the report."""
        until = "the end" if self.until is None else f"{self.until:g} s"
        return f"{self.at:g} s to {until}: {self.kind} {self.name or ''}".rstrip()


class Scenario:
    """A deployment, its load and its faults; lengths in seconds.

    :param failure_domains: the region of each.
    :param vms: number of VMs in each failure domain.
    :param targets: ``{name: (failure domain, slots)}``.
    :param clients: requests a second from each failure domain.
    :param ahead: clients that send ahead on a connection that they keep.
    :param kept: clients that send one request after another on such a connection.
    :param work: time that a target takes for an object that it remembers.
    :param learning_factor: times longer that it takes for another one.
    :param objects: number of objects that are asked for.
    """

    __slots__ = (
        "seed",
        "length",
        "failure_domains",
        "vms",
        "targets",
        "clients",
        "ahead",
        "kept",
        "work",
        "learning_factor",
        "remembered",
        "objects",
        "aim",
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
        self.ahead = keeping.get("ahead", 0)
        self.kept = keeping.get("kept", 0)
        self.work = document.get("work_s", 0.05)
        self.learning_factor = document.get("learning_factor", 1.0)
        self.remembered = document.get("remembered_objects", 24)
        self.objects = document.get("objects", 50)
        self.aim = document.get("aim_s", 0.3)
        self.deadline = document.get("deadline_s", 1.2)
        self.faults = [Fault(**fault) for fault in document.get("faults", [])]


def load_scenario(path):
    """Return the :class:`Scenario` of a file.

    :raises ScenarioError: with every finding when it does not make sense.
    :raises FindingsError: when it is not JSON with comments.
    """
    document = loads(path.read_text(), str(path))
    findings = list(_findings(document))
    if findings:
        raise ScenarioError("\n".join(f"{path}: {finding}" for finding in findings))
    return Scenario(document)


def _findings(document):
    for error in Draft202012Validator(SCHEMA).iter_errors(document):
        place = "/".join(map(str, error.absolute_path)) or "the file"
        yield f"{place}: {error.message}"
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
