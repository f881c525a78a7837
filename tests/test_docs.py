"""Tests that the documentation is current: examples run and lists are complete."""

import ast
import json
import re
import shlex
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import httpx
import pytest

from bench import settings_page
from bench.fleet import load_example
from siskinpier import cli
from siskinpier.core.configuration.intents import RoutingIntents
from siskinpier.core.language.parsing import LanguageError, parse_order, parse_question
from siskinpier.core.routing.calls import Call
from siskinpier.core.state import CoreSettings, HostIdentity, make_state
from siskinpier.exit_codes import ExitCode
from siskinpier.metrics import HostMetrics
from siskinpier.operator_client import OperatorClient
from siskinpier.settings.documents import Loaded, parse_document
from siskinpier.settings.host import HostSettings, SecuritySettings
from tests.standins.virtual_shell import VirtualShell, send_request

ROOT: Final = Path(__file__).parents[1]
DOCS: Final = ROOT / "docs"
TOKEN: Final = "token-of-the-examples"
PROMPT: Final = "$ siskinpier "
EXAMPLE: Final = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)


def read_examples(page: str) -> Iterator[tuple[str, str]]:
    """Yield each command in a page's console blocks with its expected output."""
    for block in EXAMPLE.findall((DOCS / page).read_text()):
        for part in block.split(PROMPT)[1:]:
            command, _, output = part.partition("\n")
            yield command, output


def matches(expected: str, output: str) -> bool:
    """Return True if `output` matches `expected`, where `...` matches any text."""
    pattern = ".*".join(map(re.escape, expected.strip().split("...")))
    return re.fullmatch(pattern, output.strip(), re.DOTALL) is not None


@pytest.fixture
def shell(monkeypatch: pytest.MonkeyPatch) -> VirtualShell:
    """Return a deployment to which the command line sends its requests."""
    security = SecuritySettings(operator_token=TOKEN, peer_key="k" * 16)
    intents = load_example("arhivski-kadar")
    shell = VirtualShell(intents=intents, hosts=3, security=security)

    def answer(request: httpx.Request) -> httpx.Response:
        body: Any = json.loads(request.content)
        response = send_request(shell, request.url.path, body, TOKEN)
        return httpx.Response(response.status_code, content=response.content)

    client = OperatorClient(
        hosts=("127.0.0.1:1",), token=TOKEN, transport=httpx.MockTransport(answer)
    )
    monkeypatch.setattr(cli, "_make_client", lambda _: client)
    monkeypatch.chdir(ROOT)
    return shell


class TestLanguagePage:
    """The examples in LANGUAGE.md print the output shown there."""

    def test_examples(
        self, shell: VirtualShell, capsys: pytest.CaptureFixture[str]
    ) -> None:
        call = Call(
            call_id="call-1",
            service="search",
            method="GET",
            path="/find",
            caller="c",
            deadline=shell.clock() + 2.0,
        )
        shell.world.call("host-0", call)
        shell.world.run_for(1.0)
        wrong = []
        for command, expected in read_examples("LANGUAGE.md"):
            cli.run(shlex.split(command))
            captured = capsys.readouterr()
            output = captured.out + captured.err
            if not matches(expected, output):
                wrong.append(f"$ {command}\n{output}")
        assert wrong == []


def find_event_names() -> set[str]:
    """Return the names of all log events in the source code."""
    names = set()
    for path in (ROOT / "src").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Name):
                continue
            arguments = {keyword.arg: keyword.value for keyword in node.keywords}
            if node.func.id in ("log_event", "log_warning") and node.args:
                arguments["event"] = node.args[0]
            elif node.func.id != "LogDecision":
                continue
            match arguments.get("event"):
                case ast.Constant(value=str(name)):
                    names.add(name)
    return names


def find_metric_names() -> set[str]:
    """Return the names of all metrics of a host."""
    metrics = HostMetrics()
    identity = HostIdentity(
        name="h", incarnation=1, failure_domain="d", region="r", callers="", peers=""
    )
    state = make_state(
        identity=identity,
        settings=CoreSettings(),
        parse_intents=lambda _: None,
        seed=1,
    )
    metrics.register_state(state, lambda: 0.0, {})
    return {family.name for family in metrics.registry.collect()}


def read_table(page: str, heading: str) -> set[str]:
    """Return the names in the first column of the table under a heading."""
    section = (DOCS / page).read_text().partition(f"## {heading}\n")[2]
    section = section.partition("\n## ")[0]
    return set(re.findall(r"^\| `([^`]+)` \|", section, re.MULTILINE))


class TestOperatorsPage:
    """The tables in OPERATORS.md are complete and list nothing that does not exist."""

    def test_log_events(self) -> None:
        assert read_table("OPERATORS.md", "Log lines") == find_event_names()

    def test_metrics(self) -> None:
        assert read_table("OPERATORS.md", "Metrics") == find_metric_names()

    def test_exit_codes(self) -> None:
        codes = read_table("OPERATORS.md", "Exit codes")
        assert codes == {str(int(code)) for code in ExitCode}

    def test_questions_and_orders_are_in_the_language(self) -> None:
        page = (DOCS / "OPERATORS.md").read_text()
        words = re.findall(r"`(ask|order) ([^`]+)`", page)
        parse = {"ask": parse_question, "order": parse_order}
        wrong = [
            text for kind, text in words if isinstance(parse[kind](text), LanguageError)
        ]
        assert words and wrong == []


class TestSettingsPage:
    """The settings page documents each option, and the example file sets it."""

    def test_is_current(self) -> None:
        made = settings_page.make_page()
        assert settings_page.PAGE_PATH.read_text() == made, "run bench.settings_page"

    @pytest.mark.parametrize("cls", [HostSettings, RoutingIntents])
    def test_every_option_has_a_meaning(self, cls: type) -> None:
        options = list(settings_page.list_options(cls))
        assert [option.path for option in options if not option.meaning] == []

    def test_example_has_every_option_at_its_default(self) -> None:
        text = (ROOT / "examples" / "host.settings.jsonc").read_text()
        document = parse_document(text)
        assert isinstance(document, Loaded)
        for option in settings_page.list_options(HostSettings):
            value: Any = document.value
            for name in option.path.split("."):
                value = value[name]
            if option.default and option.default != "{}":
                assert (option.path, value) == (option.path, json.loads(option.default))
