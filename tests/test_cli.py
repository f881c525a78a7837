"""Tests of the command line, its exit codes and the operator client."""

import json
import os
import re
import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import httpx
import pytest

from bench.fleet import OPERATOR_TOKEN, PEER_KEY, Fleet, load_example
from siskinpier import cli
from siskinpier.arguments import Order, Target, parse_command
from siskinpier.exit_codes import ExitCode
from siskinpier.operator_client import (
    OperatorClient,
    Reply,
    UnknownOutcome,
    Unreachable,
)
from siskinpier.settings.documents import dump_intents

EXAMPLES = Path(__file__).parents[1] / "examples"
INTENTS = str(EXAMPLES / "hanul.intents.jsonc")
HOST = ["--host", "127.0.0.1:1"]
Handler = Callable[[httpx.Request], httpx.Response]


def raise_timeout(request: httpx.Request) -> httpx.Response:
    """Fail like a request whose reply did not arrive."""
    raise httpx.ReadTimeout("timed out", request=request)


def raise_refused(request: httpx.Request) -> httpx.Response:
    """Fail like a request that could not be sent."""
    raise httpx.ConnectError("refused", request=request)


def reply(status: str, **fields: object) -> Handler:
    """Return a handler that replies with a status and more fields."""
    return lambda _: httpx.Response(200, json={"status": status, **fields})


def make_client(handler: Handler) -> OperatorClient:
    """Return a client of two hosts whose requests are answered by the handler."""
    return OperatorClient(
        hosts=("127.0.0.1:1", "127.0.0.1:2"),
        token="secret",
        transport=httpx.MockTransport(handler),
    )


class TestCommandLine:
    """Every error must print exactly one line and give the right exit code."""

    @pytest.mark.parametrize(
        "argv",
        [
            [],
            ["check", INTENTS, "extra"],
            ["check", INTENTS, "--json=maybe"],
            ["check", "/nonexistent"],
            ["check", "\0"],
            ["check", __file__],
            ["ask", "servers"],
            ["ask", "servers", "--host", "localhost:1"],
            ["ask", "servers", *HOST, "--token-file", "/none"],
            ["ask", "servers", *HOST, "--ca", "/none"],
            ["ask", "servers", *HOST, "--ca", __file__],
            ["apply", INTENTS, *HOST, "--dryrun"],
            ["version", "--", "--interactive"],
            ["version", "--", "--separator"],
        ],
    )
    def test_bad_input(
        self, argv: list[str], capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert cli.run(argv) == ExitCode.BAD_INPUT
        output = capsys.readouterr()
        assert output.out == ""
        assert output.err.startswith("siskinpier: ")
        assert output.err.count("\n") == 1

    @pytest.mark.parametrize("file", sorted(EXAMPLES.iterdir()), ids=lambda p: p.name)
    def test_check(self, file: Path, capsys: pytest.CaptureFixture[str]) -> None:
        assert cli.run(["check", str(file), "--json"]) == ExitCode.OK
        assert json.loads(capsys.readouterr().out)["errors"] == []

    def test_arguments_remain_text(self) -> None:
        command = parse_command(["order", "limit", "007", "1e3", "a b", "--json"])
        assert command == Order(text='limit 007 1e3 "a b"', target=Target(json=True))

    def test_closed_output(self) -> None:
        child = subprocess.Popen(
            [sys.executable, "-m", "siskinpier", "--help"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(EXAMPLES.parent / "src")},
        )
        assert child.stdout is not None
        child.stdout.close()
        assert child.communicate()[1] == b""

    def test_internal_error(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        monkeypatch.setattr(cli, "parse_command", lambda _: 1 / 0)
        assert cli.run(["version"]) == ExitCode.INTERNAL
        assert capsys.readouterr().err.count("\n") == 1


class TestOperatorClient:
    """The result must tell whether an order may have taken effect.

    Otherwise an operator could repeat an order that was already accepted.
    """

    @pytest.mark.parametrize(
        ("handler", "query_result", "order_result"),
        [
            (reply("ok"), Reply, Reply),
            (raise_refused, Unreachable, Unreachable),
            (raise_timeout, Unreachable, UnknownOutcome),
            (lambda _: httpx.Response(401), Reply, Reply),
            (lambda _: httpx.Response(502), Unreachable, UnknownOutcome),
            (reply("surprising"), Unreachable, UnknownOutcome),
        ],
    )
    def test_results(
        self, handler: Handler, query_result: type, order_result: type
    ) -> None:
        client = make_client(handler)
        assert isinstance(client.ask("hosts"), query_result)
        assert isinstance(client.order("drain a"), order_result)
        assert isinstance(client.compare({}), query_result)
        assert isinstance(client.apply({}, base_revision=1), order_result)

    @pytest.mark.parametrize(("status", "code"), cli.STATUS_EXIT_CODES.items())
    def test_exit_codes(
        self, status: str, code: ExitCode, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        client = make_client(reply(status, text="t", difference=["+ s"], version="1"))
        monkeypatch.setattr(cli, "_make_client", lambda _: client)
        assert cli.run(["apply", INTENTS, "--dry-run"]) == code

    @pytest.mark.parametrize(
        ("behind", "code"), [(["h"], ExitCode.NOT_IN_FORCE), ([], ExitCode.OK)]
    )
    def test_wait_that_timed_out(
        self, behind: list[str], code: ExitCode, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        client = make_client(reply("accepted", text="t", data={"behind": behind}))
        monkeypatch.setattr(cli, "_make_client", lambda _: client)
        assert cli.run(["order", "leave host h wait"]) == code

    def test_request(self) -> None:
        def check(request: httpx.Request) -> httpx.Response:
            assert request.headers["Authorization"] == "Bearer secret"
            assert json.loads(request.content) == {"text": "hosts"}
            return httpx.Response(200, json={"status": "ok", "text": request.url.path})

        assert make_client(check).ask("hosts") == Reply(status="ok", text="/ask")

    @pytest.mark.parametrize(
        ("fault", "is_order_resent"), [(raise_refused, True), (raise_timeout, False)]
    )
    def test_next_host(self, fault: Handler, is_order_resent: bool) -> None:
        def answer(request: httpx.Request) -> httpx.Response:
            return fault(request) if request.url.port == 1 else reply("ok")(request)

        client = make_client(answer)
        assert isinstance(client.ask("hosts"), Reply)
        assert isinstance(client.order("leave host h"), Reply) is is_order_resent

    def test_unknown_outcome_names_update_query(self) -> None:
        update_ids: list[str] = []

        def lose_reply(request: httpx.Request) -> httpx.Response:
            update_ids.append(json.loads(request.content)["update_id"])
            raise httpx.ReadTimeout("timed out", request=request)

        result = make_client(lose_reply).order("leave host h")
        assert isinstance(result, UnknownOutcome)
        assert f"ask 'update {update_ids[0]}'" in result.reason


@pytest.fixture(scope="class")
def fleet() -> Iterator[Fleet]:
    """Yield an entry host without applied intents, and intents of one service."""
    intents = load_example("arhivski-kadar")
    service = replace(intents.services[0], servers=intents.services[0].servers[:1])
    with Fleet(intents=replace(intents, services=(service,)), hosts=1) as fleet:
        yield fleet


class TestAgainstHost:
    """The commands must work with a real host process; the tests run in this order."""

    def run(
        self, fleet: Fleet, capsys: pytest.CaptureFixture[str], *argv: str
    ) -> tuple[int, str, Any]:
        """Run a command; return exit code, output, and the document of --json, or 0."""
        token = fleet.directory / "token"
        token.write_text(OPERATOR_TOKEN + "\n")
        target = [f"--host={fleet.hosts[0].operators}", f"--token_file={token}"]
        code = cli.run([*argv, *target])
        output = capsys.readouterr()
        assert "Traceback" not in output.err and OPERATOR_TOKEN not in output.err
        is_json = "--json" in argv
        return code, output.out + output.err, json.loads(output.out) if is_json else 0

    def write(self, fleet: Fleet, **fields: object) -> str:
        """Write the intents to a file and return its path."""
        path = fleet.directory / "intents.jsonc"
        path.write_text(json.dumps(dump_intents(fleet.intents) | fields))
        return str(path)

    def test_apply_order_and_ask(
        self, fleet: Fleet, capsys: pytest.CaptureFixture[str]
    ) -> None:
        file = self.write(fleet)
        code, text, _ = self.run(fleet, capsys, "apply", file, "--dry-run")
        assert (code, text) == (0, "+ service search (1 servers, 1 rules)\n")
        code, text, _ = self.run(fleet, capsys, "apply", file)
        assert code == 0 and "accepted as version 1" in text
        code, text, _ = self.run(fleet, capsys, "apply", file, "--dry-run")
        assert (code, text) == (0, "no difference\n")
        code, text, _ = self.run(fleet, capsys, "order", "leave host old wait 5s")
        assert (code, text) == (
            0,
            "accepted as version 2, in force on every live host\n",
        )
        code, text, _ = self.run(fleet, capsys, "order", "leave host x if revision 1")
        assert code == ExitCode.REFUSED and "revision 2" in text
        code, text, _ = self.run(fleet, capsys, "apply", file)
        assert code == ExitCode.REFUSED and "- leaving host old" in text
        code, _, reply = self.run(
            fleet, capsys, "apply", file, "--undo-orders", "--json"
        )
        assert (code, reply["difference"]) == (0, ["- leaving host old"])
        code, _, reply = self.run(fleet, capsys, "ask", "configuration", "--json")
        row = reply["data"][0]
        assert (code, row["revision"], row["by"]) == (0, 3, "operator")
        code, _, reply = self.run(
            fleet, capsys, "ask", f"update {row['update']}", "--json"
        )
        assert reply["data"][0]["accepted"] is True

    def test_errors(self, fleet: Fleet, capsys: pytest.CaptureFixture[str]) -> None:
        code, text, _ = self.run(fleet, capsys, "order", "drain srv")
        assert code == ExitCode.REFUSED and "column 7: found 'srv'" in text
        empty = fleet.directory / "empty.jsonc"
        empty.write_text("{leaving_hosts: []}")
        code, text, _ = self.run(fleet, capsys, "apply", str(empty))
        assert code == ExitCode.BAD_INPUT and "$.services" in text
        bad = self.write(fleet, color=1)
        code, text, _ = self.run(fleet, capsys, "apply", bad)
        assert code == ExitCode.BAD_INPUT and "$.color" in text
        host = f"--host={fleet.hosts[0].operators}"
        assert cli.run(["ask", "hosts", host]) == ExitCode.REFUSED
        assert "a valid token is required" in capsys.readouterr().err

    def test_explain_and_metrics(
        self, fleet: Fleet, capsys: pytest.CaptureFixture[str]
    ) -> None:
        host = fleet.hosts[0]
        url = f"http://{host.callers}/call/search/find"
        assert httpx.get(url, trust_env=False).status_code == 200
        log = host.process.read_log()
        call = re.findall(r"event=route call=(\w+)", log)[-1]
        _, _, answer = self.run(fleet, capsys, "ask", f"explain {call}", "--json")
        assert answer["data"][0]["target"] == "search-1"
        page = httpx.get(f"http://{host.operators}/metrics", trust_env=False).text
        labels = '{service="search",urgency="2"}'
        assert f"siskinpier_call_seconds_count{labels} 1.0" in page
        assert f"siskinpier_queue_wait_seconds_count{labels} 1.0" in page
        assert 'siskinpier_platform_calls_total{kind="write"}' in page

    def test_secrets_are_not_logged(self, fleet: Fleet) -> None:
        log = fleet.hosts[0].process.read_log()
        assert "event=start" in log
        assert fleet.hosts[0].process.read_stderr_tail() == ""
        assert OPERATOR_TOKEN not in log and PEER_KEY not in log
