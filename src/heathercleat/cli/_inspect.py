"""The read-only commands ``status`` and ``explain``."""

from heathercleat.cli._client import add_client_options, make_client
from heathercleat.cli._output import format_table, print_result
from heathercleat.errors import HeathercleatError


def add_inspect_commands(commands):
    """Add the ``status`` and ``explain`` commands to the parser."""
    status = commands.add_parser(
        "status",
        help="show the state of all entry VMs, and the free slots of each service",
        description="Show the state of every entry VM that the called one knows.",
    )
    status.set_defaults(run=_status)
    explain = commands.add_parser(
        "explain",
        help="show how the requests of a caller are routed",
        description="Show the entry VMs that a look-up returns, and the targets of the "
        "service, nearest to the called VM first.",
    )
    explain.add_argument("service")
    explain.add_argument("--client", metavar="IP", help="the caller's IP address")
    explain.set_defaults(run=_explain)
    for parser in (status, explain):
        add_client_options(parser)


def _status(args):
    client = make_client(args)
    called_status = client.get("/v1/status")
    statuses = [called_status]
    unreachable = []
    for entry in called_status["vms"]:
        if entry["vm"] == called_status["vm"]:
            continue
        try:
            statuses.append(client.with_host(entry["host"]).get("/v1/status"))
        except HeathercleatError:
            unreachable.append(entry["vm"])
    result = {
        "vms": statuses,
        "unreachable": unreachable,
        "headroom": list(_headroom(statuses)),
    }
    print_result(args, result, _status_lines)


def _headroom(statuses):
    """Yield slots and waiting requests per service and failure domain."""
    totals = {}
    for status in statuses:
        for service in status["services"]:
            key = service["service"], status["failure_domain"]
            slots, free, waiting = totals.get(key, (0, 0, 0))
            totals[key] = (
                slots + service["slots"],
                free + service["free"],
                waiting + service["waiting"],
            )
    for (service, domain), (slots, free, waiting) in sorted(totals.items()):
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
    yield from format_table([*headings, "HOME OF"], rows)
    for name in result["unreachable"]:
        yield f"{name}: no answer"
    yield ""
    rows = (list(service_headroom.values()) for service_headroom in result["headroom"])
    yield from format_table(
        ["SERVICE", "FAILURE DOMAIN", "SLOTS", "FREE", "WAITING"], rows
    )


def _explain(args):
    explanation = make_client(args).get(
        "/v1/explain", service=args.service, client=args.client
    )
    print_result(args, explanation, _explain_lines)


def _explain_lines(explanation):
    domain = explanation["client_domain"] or "not in any client block"
    yield f"client {explanation['client']}: {domain}"
    yield "entry VMs: " + ", ".join(entry["vm"] for entry in explanation["vms"])
    wait = explanation["expected_wait"]
    yield f"expected wait here: {'no room' if wait is None else f'{wait:.4f} s'}"
    yield f"share of callers served here: {explanation['ready_share']:.2f}"
    rows = (
        [
            target["target"],
            target["failure_domain"],
            target["distance"],
            target["slots"],
            target["free"],
            target.get("cost"),
            target["state"],
        ]
        for target in explanation["places"]
    )
    headings = ["TARGET", "FAILURE DOMAIN", "ONE WAY S", "SLOTS", "FREE", "COST"]
    yield from format_table([*headings, "STATE"], rows)
