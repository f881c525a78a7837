"""Command-line arguments, parsed by `fire` into one command object."""

import io
from collections.abc import Callable, Sequence
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import fire
from fire.core import FireExit
from fire.decorators import SetParseFn, SetParseFns

from .exit_codes import ExitCode

PROGRAM: Final = "siskinpier"
FLAG_VALUES: Final = {"true": True, "false": False}
# Fire stores the argument parsers as an attribute of each function, which its help
# lists as a group of commands.
FIRE_GROUP_PREFIX: Final = "GROUP | "
FIRE_SEPARATOR: Final = "--"
HELP_FLAGS: Final = frozenset({"--help", "-h"})
FIRE_HELP_NOTE_PREFIX: Final = "INFO: Showing help"
FIRE_GROUPS_SECTION: Final = "GROUPS"


class CommandError(Exception):
    """The command failed; the message is printed for the operator."""

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
    """The hosts to connect to, the credentials, and the format of the output."""

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
    """Show what log files say about one request."""

    request_id: str
    files: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Platform:
    """Run a host with the settings file that the platform provides."""


Command: TypeAlias = Version | Check | Serve | Ask | Order | Apply | Explain | Platform


def _parse_flag(text: str) -> bool:
    value = FLAG_VALUES.get(text.lower())
    if value is None:
        raise CommandError(f"a flag must be true or false, not {text!r}")
    return value


def _parse_arguments_as_text(**flags: Callable[[str], bool]) -> Callable[[Any], Any]:
    """Return a decorator: `flags` are parsed, all other arguments remain text.

    By default, fire guesses the type of each argument.
    """

    def decorate(function: Any) -> Any:
        return SetParseFns(**flags)(SetParseFn(str)(function))

    return decorate


class CommandLine:
    """A load balancer for backend servers whose load changes within milliseconds.

    Exit codes: 0 success; 1 internal error; 2 bad arguments or a bad file; 3
    refused by the host; 4 unknown whether the order took effect; 5 host not
    reachable; 6 accepted, but not in force on every host within the wait.

    The commands ask, order and apply connect to the operators' address of any
    host, given by --host or the variable SISKINPIER_HOST, with the token from
    --token_file or the variable SISKINPIER_TOKEN. If several hosts are given,
    the first reachable one is used.
    """

    # Commands only record what to run: fire calls a command before it detects an
    # unknown later argument, and nothing may have been applied by then.

    def __init__(self) -> None:
        self._command: Command | None = None

    @_parse_arguments_as_text(json=_parse_flag)
    def version(self, *, json: bool = False) -> None:
        """Print the version.

        Args:
            json: print JSON.

        """
        self._command = Version(json=json)

    @_parse_arguments_as_text(json=_parse_flag)
    def check(self, file: str, *, json: bool = False) -> None:
        """Check a file of settings or routing intents, and print every error.

        Args:
            file: path of the file; its fields determine which kind it is.
            json: print JSON.

        """
        self._command = Check(file=file, json=json)

    @_parse_arguments_as_text()
    def serve(self, settings: str) -> None:
        """Run a host with a settings file.

        Args:
            settings: path of the settings file.

        """
        self._command = Serve(settings=settings)

    @_parse_arguments_as_text()
    def platform(self) -> None:
        """Run a host with the settings file that the platform provides."""
        self._command = Platform()

    @_parse_arguments_as_text()
    def explain(self, request_id: str, *files: str) -> None:
        """Show from log files how a request ended, and why.

        Args:
            request_id: id of the request, as sent by its caller.
            files: log files of one or more hosts.

        """
        if not files:
            raise CommandError("FILE is missing")
        self._command = Explain(request_id=request_id, files=files)

    @_parse_arguments_as_text(json=_parse_flag)
    def ask(
        self,
        *query: str,
        host: str = "",
        token_file: str = "",
        ca: str = "",
        json: bool = False,
    ) -> None:
        """Query the state that a host sees, such as: ask servers of search.

        Args:
            query: the query, see docs/LANGUAGE.md.
            host: IP:PORT of a host's operators' address; separate several by commas.
            token_file: path of a file with the operator's token.
            ca: path of a PEM certificate to trust; enables HTTPS.
            json: print JSON.

        """
        target = Target(host=host, token_file=token_file, ca=ca, json=json)
        self._command = Ask(text=_join_words("QUERY", query), target=target)

    @_parse_arguments_as_text(json=_parse_flag)
    def order(
        self,
        *command: str,
        host: str = "",
        token_file: str = "",
        ca: str = "",
        json: bool = False,
    ) -> None:
        """Change the system, such as: order drain server a of search wait.

        Args:
            command: the order, see docs/LANGUAGE.md.
            host: IP:PORT of a host's operators' address; separate several by commas.
            token_file: path of a file with the operator's token.
            ca: path of a PEM certificate to trust; enables HTTPS.
            json: print JSON.

        """
        target = Target(host=host, token_file=token_file, ca=ca, json=json)
        self._command = Order(text=_join_words("COMMAND", command), target=target)

    @_parse_arguments_as_text(
        json=_parse_flag, dry_run=_parse_flag, undo_orders=_parse_flag
    )
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
            host: IP:PORT of a host's operators' address; separate several by commas.
            token_file: path of a file with the operator's token.
            ca: path of a PEM certificate to trust; enables HTTPS.
            dry_run: only show the difference.
            undo_orders: apply even if it undoes orders given since the last apply.
            json: print JSON.

        """
        target = Target(host=host, token_file=token_file, ca=ca, json=json)
        self._command = Apply(
            file=file, dry_run=dry_run, undo_orders=undo_orders, target=target
        )


def parse_command(argv: Sequence[str]) -> Command | None:
    """Return the command of an argument list, or None if help was printed.

    Raises `CommandError` for bad arguments.
    """
    if not argv:
        raise CommandError(f"no command given; try {PROGRAM} --help")
    _reject_fire_flags(argv)
    line = CommandLine()
    output = io.StringIO()
    # Fire prints a full usage page on errors and starts a pager on a terminal.
    try:
        with redirect_stdout(output), redirect_stderr(output):
            fire.Fire(line, command=list(argv), name=PROGRAM)
    except FireExit as exc:
        if exc.code == 0:
            print(_format_help(output.getvalue()))
            return None
        raise CommandError(_format_usage_error(output.getvalue())) from None
    if line._command is None:
        raise CommandError(f"no command given; try {PROGRAM} --help")
    return line._command


def _reject_fire_flags(argv: Sequence[str]) -> None:
    """Reject fire's own flags, such as `--interactive`, which opens a Python prompt."""
    if FIRE_SEPARATOR not in argv:
        return
    flags = argv[argv.index(FIRE_SEPARATOR) + 1 :]
    if any(flag not in HELP_FLAGS for flag in flags):
        raise CommandError(f"nothing may follow {FIRE_SEPARATOR}; try {PROGRAM} --help")


def _format_usage_error(output: str) -> str:
    """Return the first error line of fire's output, with a hint at the help."""
    for row in output.splitlines():
        if row.startswith("ERROR: "):
            return f"{row.removeprefix('ERROR: ')}; try {PROGRAM} --help"
    return f"bad arguments; try {PROGRAM} --help"


def _format_help(output: str) -> str:
    """Remove from fire's help its note and its list of command groups."""
    lines = output.replace(FIRE_GROUP_PREFIX, "").splitlines()
    rows = [line for line in lines if not line.startswith(FIRE_HELP_NOTE_PREFIX)]
    if FIRE_GROUPS_SECTION in rows:
        start = rows.index(FIRE_GROUPS_SECTION)
        ends = (i for i, row in enumerate(rows) if i > start and row[:1].isalpha())
        del rows[start : next(ends, len(rows))]
    return "\n".join(rows).strip()


def _join_words(name: str, words: Sequence[str]) -> str:
    # The shell removed the quotes around names that contain spaces.
    if len(words) > 1:
        words = [f'"{word}"' if " " in word else word for word in words]
    text = " ".join(words).strip()
    if not text:
        raise CommandError(f"{name} is missing")
    return text
