"""The arguments of the command line, parsed by `fire` into commands."""

import io
from collections.abc import Callable, Sequence
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import fire
from fire.core import FireExit
from fire.decorators import SetParseFn, SetParseFns

from .exits import ExitCode

PROGRAM: Final = "siskinpier"
FLAG_VALUES: Final = {"true": True, "false": False}
# Fire lists its own bookkeeping of the parsed types as a group of commands.
FIRE_GROUP: Final = "GROUP | "
FIRE_SEPARATOR: Final = "--"
HELP_FLAGS: Final = frozenset({"--help", "-h"})
FIRE_NOTE: Final = "INFO: Showing help"
FIRE_GROUPS_SECTION: Final = "GROUPS"


class CommandError(Exception):
    """A command cannot go on; the message is for the operator."""

    def __init__(self, message: str, *, code: ExitCode = ExitCode.BAD_INPUT) -> None:
        super().__init__(message)
        self.code = code


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """Print the version."""

    json: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Check:
    """Check a file of settings or routing intents."""

    file: str
    json: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Serve:
    """Run a host."""

    settings: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """The host to talk to, and how to print its reply."""

    host: str = ""
    token_file: str = ""
    ca: str = ""
    json: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Ask:
    """Send a query to a host."""

    text: str
    target: Target


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """Send an order to a host."""

    text: str
    target: Target


@dataclass(frozen=True, slots=True, kw_only=True)
class Apply:
    """Send routing intents to a host."""

    file: str
    dry_run: bool
    undo_orders: bool
    target: Target


@dataclass(frozen=True, slots=True, kw_only=True)
class Explain:
    """Tell the story of a request from log files."""

    request_id: str
    files: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Platform:
    """Run a host on the users' platform."""


Command: TypeAlias = Version | Check | Serve | Ask | Order | Apply | Explain | Platform


def _parse_flag(text: str) -> bool:
    value = FLAG_VALUES.get(text.lower())
    if value is None:
        raise CommandError(f"a flag is true or false, not {text!r}")
    return value


def _typed(**flags: Callable[[str], bool]) -> Callable[[Any], Any]:
    """Keep arguments as text, where fire would guess a type, except the flags."""

    def decorate(function: Any) -> Any:
        return SetParseFns(**flags)(SetParseFn(str)(function))

    return decorate


class CommandLine:
    """A load balancer for servers whose load shifts in milliseconds.

    Exit codes: 0 done; 1 internal error; 2 bad arguments or a bad file; 3
    refused by the host; 4 whether the order took effect is unknown; 5 the host
    was not reached; 6 accepted, but not in force everywhere within the wait.

    The commands ask, order and apply talk to the operators' address of any
    host, with --host or the variable SISKINPIER_HOST, and present the token
    from --token_file or the variable SISKINPIER_TOKEN. Of several hosts, the
    first that can be reached is taken.
    """

    # The commands only record what to do: fire calls a command before it has
    # seen that a later argument is unknown, and must not have applied anything.

    def __init__(self) -> None:
        self._chosen: Command | None = None

    @_typed(json=_parse_flag)
    def version(self, *, json: bool = False) -> None:
        """Print the version.

        Args:
            json: print JSON.

        """
        self._chosen = Version(json=json)

    @_typed(json=_parse_flag)
    def check(self, file: str, *, json: bool = False) -> None:
        """Check a file of settings or routing intents, and show every error.

        Args:
            file: path of the file; which kind it is shows from its fields.
            json: print JSON.

        """
        self._chosen = Check(file=file, json=json)

    @_typed()
    def serve(self, settings: str) -> None:
        """Run a host with a file of settings.

        Args:
            settings: path of the file of settings.

        """
        self._chosen = Serve(settings=settings)

    @_typed()
    def platform(self) -> None:
        """Run a host with the settings that the users' platform names."""
        self._chosen = Platform()

    @_typed()
    def explain(self, request_id: str, *files: str) -> None:
        """Tell from log files what became of a request, and why.

        Args:
            request_id: id of the request, as its caller sent it.
            files: logs of one or more hosts, as collected.

        """
        if not files:
            raise CommandError("FILE is missing")
        self._chosen = Explain(request_id=request_id, files=files)

    @_typed(json=_parse_flag)
    def ask(
        self,
        *query: str,
        host: str = "",
        token_file: str = "",
        ca: str = "",
        json: bool = False,
    ) -> None:
        """Ask a host what the system believes, such as: ask servers of search.

        Args:
            query: the question, see docs/LANGUAGE.md.
            host: IP:PORT of a host's operators' address, or several with commas.
            token_file: path of a file that holds the operator's token.
            ca: path of the PEM certificate to trust; the host is asked by HTTPS.
            json: print JSON.

        """
        target = Target(host=host, token_file=token_file, ca=ca, json=json)
        self._chosen = Ask(text=_join_words("QUERY", query), target=target)

    @_typed(json=_parse_flag)
    def order(
        self,
        *command: str,
        host: str = "",
        token_file: str = "",
        ca: str = "",
        json: bool = False,
    ) -> None:
        """Order the system to change, such as: order drain server a of search wait.

        Args:
            command: the order, see docs/LANGUAGE.md.
            host: IP:PORT of a host's operators' address, or several with commas.
            token_file: path of a file that holds the operator's token.
            ca: path of the PEM certificate to trust; the host is asked by HTTPS.
            json: print JSON.

        """
        target = Target(host=host, token_file=token_file, ca=ca, json=json)
        self._chosen = Order(text=_join_words("COMMAND", command), target=target)

    @_typed(json=_parse_flag, dry_run=_parse_flag, undo_orders=_parse_flag)
    def apply(
        self,
        file: str,
        *,
        host: str = "",
        token_file: str = "",
        ca: str = "",
        dry_run: bool = False,
        undo_orders: bool = False,
        json: bool = False,
    ) -> None:
        """Show what a file of routing intents would change, then apply it.

        Args:
            file: path of the file of routing intents.
            host: IP:PORT of a host's operators' address, or several with commas.
            token_file: path of a file that holds the operator's token.
            ca: path of the PEM certificate to trust; the host is asked by HTTPS.
            dry_run: only show the difference.
            undo_orders: apply even what undoes orders given since the last apply.
            json: print JSON.

        """
        target = Target(host=host, token_file=token_file, ca=ca, json=json)
        self._chosen = Apply(
            file=file, dry_run=dry_run, undo_orders=undo_orders, target=target
        )


def parse_command(argv: Sequence[str]) -> Command | None:
    """Return the command of an argument list, or None after printing help."""
    if not argv:
        raise CommandError(f"no command given; try {PROGRAM} --help")
    _check_separator(argv)
    line = CommandLine()
    output = io.StringIO()
    # Fire prints a page of usage on an error, and starts a pager on a terminal.
    try:
        with redirect_stdout(output), redirect_stderr(output):
            fire.Fire(line, command=list(argv), name=PROGRAM)
    except FireExit as exc:
        if exc.code == 0:
            print(_tidy_help(output.getvalue()))
            return None
        raise CommandError(_get_usage_error(output.getvalue())) from None
    if line._chosen is None:
        raise CommandError(f"no command given; try {PROGRAM} --help")
    return line._chosen


def _check_separator(argv: Sequence[str]) -> None:
    """Refuse fire's own flags, such as one that opens a Python prompt."""
    if FIRE_SEPARATOR not in argv:
        return
    flags = argv[argv.index(FIRE_SEPARATOR) + 1 :]
    if any(flag not in HELP_FLAGS for flag in flags):
        raise CommandError(f"nothing may follow {FIRE_SEPARATOR}; try {PROGRAM} --help")


def _get_usage_error(output: str) -> str:
    for row in output.splitlines():
        if row.startswith("ERROR: "):
            return f"{row.removeprefix('ERROR: ')}; try {PROGRAM} --help"
    return f"bad arguments; try {PROGRAM} --help"


def _tidy_help(output: str) -> str:
    lines = output.replace(FIRE_GROUP, "").splitlines()
    rows = [line for line in lines if not line.startswith(FIRE_NOTE)]
    if FIRE_GROUPS_SECTION in rows:
        start = rows.index(FIRE_GROUPS_SECTION)
        ends = (i for i, row in enumerate(rows) if i > start and row[:1].isalpha())
        del rows[start : next(ends, len(rows))]
    return "\n".join(rows).strip()


def _join_words(name: str, words: Sequence[str]) -> str:
    # The operator's shell took the quotes off a name that holds spaces.
    if len(words) > 1:
        words = [f'"{word}"' if " " in word else word for word in words]
    text = " ".join(words).strip()
    if not text:
        raise CommandError(f"{name} is missing")
    return text
