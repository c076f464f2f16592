"""Command-line interface."""

import collections
import datetime
import gzip
import pathlib
import sys
from collections.abc import Iterable
from typing import Annotated

import msgspec
import typer

import monsoonhoist
from monsoonhoist import client, errors, explanation, settings, settings_file
from monsoonhoist.core import data, diagnostics
from monsoonhoist.kernels import traces
from monsoonhoist.node import process
from monsoonhoist.platform import config_check
from monsoonhoist.tables import config_review, review

EXIT_FINDINGS = 1
EXIT_USAGE = 2
EXIT_NOT_ANSWERED = 3
EXIT_UNREACHABLE = 4

app = typer.Typer(
    name="monsoonhoist",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Query tier that fans each query out to very many shards.",
)

SettingsPath = Annotated[pathlib.Path, typer.Argument(help="INI file with the settings.")]
Url = Annotated[str, typer.Option("--url", help="Address of an instance, http://HOST:PORT.")]


@app.callback(invoke_without_command=True)
def show_version(
    version: Annotated[bool, typer.Option("--version", help="Show the version.")] = False,
) -> None:
    """Shows the version if requested."""
    if version:
        typer.echo(monsoonhoist.__version__)
        raise typer.Exit


@app.command()
def serve(
    path: SettingsPath,
    log_level: Annotated[str, typer.Option(help="debug, info, warning or error.")] = "info",
    trace: Annotated[
        pathlib.Path | None, typer.Option(help="File for a trace of kernel events.")
    ] = None,
) -> None:
    """Run one instance until SIGTERM.

    Example: monsoonhoist serve zurichsee-1.ini
    """
    try:
        process.run(path, log_level, trace)
    except errors.SettingsError as error:
        _print_findings(error.findings)
        raise typer.Exit(EXIT_FINDINGS) from error


@app.command()
def check(
    settings_path: Annotated[
        pathlib.Path | None, typer.Option("--settings", help="INI file with settings.")
    ] = None,
    routes: Annotated[
        pathlib.Path | None, typer.Option(help="INI file with the table of routes.")
    ] = None,
    pool: Annotated[
        list[str] | None, typer.Option(help="NAME=FILE of a pool; may be repeated.")
    ] = None,
    evacuated: Annotated[
        list[str] | None,
        typer.Option(help="Zone to be evacuated; may be repeated. Needs the pools."),
    ] = None,
    config: Annotated[
        pathlib.Path | None,
        typer.Option(help="JSON file with the configuration of the users' platform."),
    ] = None,
    against: Annotated[
        pathlib.Path | None,
        typer.Option(help="File in force that --config or --routes is compared with."),
    ] = None,
    json: Annotated[bool, typer.Option("--json", help="Show the findings as JSON.")] = False,
) -> None:
    """Check settings, tables and a configuration, and show every finding.

    Exit code 1 if there is an error, 2 if the configuration, or the file in force, cannot be read
    or decoded.

    Example: monsoonhoist check --config config.json --against in-force.json
    """
    if against is not None and (config is None) == (routes is None):
        raise typer.BadParameter("needs --config or --routes, not both", param_hint="--against")
    findings: list[diagnostics.Finding] = []
    extra_calls = settings.ExtraCallsSection()
    if settings_path is not None:
        try:
            extra_calls = settings_file.load(settings_path).extra_calls
        except errors.SettingsError as error:
            findings.extend(error.findings)
    zones = tuple(data.ZoneId(zone) for zone in evacuated or ())
    findings.extend(review.review_files(routes, tuple(pool or ()), zones))
    reviewed = [config_review.make_error(finding) for finding in findings]
    is_readable = True
    if routes is not None and against is not None:
        differences, errors_in_force = review.compare_routes(routes, against)
        reviewed.extend(differences)
        reviewed.extend(config_review.make_error(finding) for finding in errors_in_force)
        is_readable = not errors_in_force
    if config is not None:
        try:
            extra_calls_enabled = extra_calls.ratio > 0 or extra_calls.allowance > 0
            reviewed.extend(config_check.check_files(config, against, extra_calls_enabled))
        except config_check.UnreadableConfigError as error:
            reviewed.append(config_review.make_error(error.finding))
            is_readable = False
    if json:
        typer.echo(msgspec.json.encode(reviewed).decode())
    else:
        _print_findings(findings)
        _print_findings(reviewed[len(findings) :])
    if not is_readable:
        raise typer.Exit(EXIT_USAGE)
    if any(finding.severity is config_review.Severity.ERROR for finding in reviewed):
        raise typer.Exit(EXIT_FINDINGS)
    if not json:
        typer.echo("no errors" if reviewed else "no findings")


@app.command()
def query(
    route: Annotated[str, typer.Argument(help="Name of the route.")],
    text: Annotated[str, typer.Argument(help="Text of the query.")],
    url: Url = "http://127.0.0.1:8101",
    limit: Annotated[int, typer.Option(help="Number of results.")] = 10,
    deadline_ms: Annotated[int, typer.Option(help="Deadline; 0 for the route's.")] = 0,
    ticket: Annotated[
        bool, typer.Option(help="Request a ticket first; needed for non-repeatable routes.")
    ] = False,
    json: Annotated[bool, typer.Option("--json", help="Show the answer as JSON.")] = False,
) -> None:
    """Send one request and show the answer; exit code 3 unless it is complete.

    Example: monsoonhoist query slot-finder "coxed four, 07:30" --url http://127.0.0.1:8101
    """
    request = data.Request(query=text, limit=limit, deadline_ms=deadline_ms)
    instance_client = client.Client(url)
    try:
        if ticket:
            issued = instance_client.request_ticket(data.RouteId(route))
            request = msgspec.structs.replace(request, ticket=issued)
        answer = instance_client.send_query(data.RouteId(route), request)
    except client.ClientError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from error
    typer.echo(msgspec.json.encode(answer).decode() if json else client.render_answer(answer))
    if answer.outcome is not data.Outcome.ANSWERED:
        raise typer.Exit(EXIT_NOT_ANSWERED)


@app.command()
def status(
    urls: Annotated[list[str], typer.Argument(help="Addresses of instances.")],
    json: Annotated[bool, typer.Option("--json", help="Show JSON lines.")] = False,
    wait_seconds: Annotated[
        float, typer.Option(help="Wait until all instances agree on the tables.")
    ] = 0.0,
) -> None:
    """Show revisions in force, instances and pools; exit code 1 unless all agree.

    Example: monsoonhoist status http://127.0.0.1:8101 http://127.0.0.1:8102
    """
    try:
        report = client.wait_for_agreement(urls, datetime.timedelta(seconds=wait_seconds))
    except client.ClientError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from error
    typer.echo(report.json_lines() if json else report.render())
    if not report.agrees:
        raise typer.Exit(EXIT_FINDINGS)


@app.command()
def replay(
    path: Annotated[pathlib.Path, typer.Argument(help="Trace, plain or .gz.")],
) -> None:
    """Replay a trace and show the outcomes; exit code 1 if any command differs.

    Example: monsoonhoist replay features/traces/killed.jsonl.gz
    """
    opener = gzip.open if path.suffix == ".gz" else open
    try:
        with opener(path, "rb") as lines:
            result = traces.replay(str(path), lines)
    except OSError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_USAGE) from error
    _print_findings(result.findings)
    outcomes = collections.Counter(answer.outcome.value for answer in result.answers)
    counts = ", ".join(f"{count} {name}" for name, count in sorted(outcomes.items()))
    typer.echo(
        f"{result.steps} steps, {len(result.findings)} findings; answers: {counts or 'none'}"
    )
    if result.findings:
        raise typer.Exit(EXIT_FINDINGS)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[list[pathlib.Path], typer.Argument(help="Logs of the instances.")],
) -> None:
    """Explain the outcome of a request from logs; exit code 1 if no log contains it.

    Example: monsoonhoist explain 9c41d07be2a35f68 instance-1.log instance-2.log
    """
    try:
        result = explanation.explain(request_id, logs)
    except OSError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_USAGE) from error
    if result is None:
        typer.echo(f"no log contains the request {request_id!r}", err=True)
        raise typer.Exit(EXIT_FINDINGS)
    for line in result.lines:
        typer.echo(line)
    typer.echo(f"cause: {result.cause}")
    if result.left_out:
        typer.echo(
            f"the instances dropped {result.left_out} log lines; the explanation may be incomplete"
        )


def _print_findings(
    findings: Iterable[diagnostics.Finding | config_review.ReviewFinding],
) -> None:
    for finding in findings:
        typer.echo(finding.describe(), err=True)


def main() -> None:
    """Runs the command line."""
    app(args=sys.argv[1:], prog_name="monsoonhoist")
