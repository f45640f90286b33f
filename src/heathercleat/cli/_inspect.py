"""The read-only commands ``status`` and ``explain``."""

from heathercleat.cli._client import add_client_options, client_of
from heathercleat.cli._output import show, table
from heathercleat.errors import HeathercleatError


def add_inspections(commands):
    """Add the ``status`` and ``explain`` commands to the parser."""
    status = commands.add_parser(
        "status",
        help="what is in force where, and the headroom",
        description="Ask every entry VM that the called one knows for its state.",
    )
    status.set_defaults(run=_status)
    explain = commands.add_parser(
        "explain",
        help="why a caller's request goes where it goes",
        description="Show the look-up and every place for a service, nearest first.",
    )
    explain.add_argument("service")
    explain.add_argument("--client", metavar="IP", help="the caller's IP number")
    explain.set_defaults(run=_explain)
    for parser in (status, explain):
        add_client_options(parser)


def _status(args):
    client = client_of(args)
    first = client.get("/v1/status")
    statuses = [first]
    unreachable = []
    for entry in first["vms"]:
        if entry["vm"] == first["vm"]:
            continue
        try:
            statuses.append(client.at(entry["host"]).get("/v1/status"))
        except HeathercleatError:
            unreachable.append(entry["vm"])
    result = {
        "vms": statuses,
        "unreachable": unreachable,
        "headroom": list(_headroom(statuses)),
    }
    show(args, result, _status_lines)


def _headroom(statuses):
    """Yield slots and waiting requests per service and failure domain."""
    sums = {}
    for status in statuses:
        for service in status["services"]:
            place = service["service"], status["failure_domain"]
            slots, free, waiting = sums.get(place, (0, 0, 0))
            sums[place] = (
                slots + service["slots"],
                free + service["free"],
                waiting + service["waiting"],
            )
    for (service, domain), (slots, free, waiting) in sorted(sums.items()):
        yield {
            "service": service,
            "failure_domain": domain,
            "slots": slots,
            "free": free,
            "waiting": waiting,
        }


def _status_lines(result):
    rows = (
        [
            status["vm"],
            status["failure_domain"],
            status["version"],
            status["may_act"],
            status["leaving"],
            status["platform_answers"],
            len(status["targets"]),
        ]
        for status in result["vms"]
    )
    headings = ["VM", "FAILURE DOMAIN", "VERSION", "ACTS", "LEAVES", "PLATFORM"]
    yield from table([*headings, "HOME OF"], rows)
    for name in result["unreachable"]:
        yield f"{name}: no answer"
    yield ""
    rows = (list(room.values()) for room in result["headroom"])
    yield from table(["SERVICE", "FAILURE DOMAIN", "SLOTS", "FREE", "WAITING"], rows)


def _explain(args):
    answer = client_of(args).get(
        "/v1/explain", service=args.service, client=args.client
    )
    show(args, answer, _explain_lines)


def _explain_lines(answer):
    domain = answer["client_domain"] or "no block of the text"
    yield f"client {answer['client']}: {domain}"
    yield "entry VMs: " + ", ".join(entry["vm"] for entry in answer["vms"])
    wait = answer["expected_wait"]
    yield f"expected wait here: {'no room' if wait is None else f'{wait:.4f} s'}"
    yield f"share of callers served here: {answer['ready_share']:.2f}"
    rows = (
        [
            place["target"],
            place["failure_domain"],
            place["distance"],
            place["slots"],
            place["free"],
            place.get("cost"),
            place["state"],
        ]
        for place in answer["places"]
    )
    headings = ["TARGET", "FAILURE DOMAIN", "ONE WAY S", "SLOTS", "FREE", "COST"]
    yield from table([*headings, "STATE"], rows)
