"""The commands of the command line, and `main`, their entry point."""

import json as json_codec
import os
import ssl
import sys
from collections.abc import Sequence
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any, Final

from . import __version__
from .arguments import (
    PROGRAM,
    Apply,
    Ask,
    Check,
    Command,
    CommandError,
    Explain,
    Order,
    Platform,
    Serve,
    Target,
    Version,
    parse_command,
)
from .exit_codes import ExitCode
from .explanation import explain_request
from .operator_client import (
    OperatorClient,
    OperatorResult,
    Reply,
    UnknownOutcome,
    Unreachable,
)
from .settings.addresses import parse_ip_port
from .settings.documents import (
    DocumentKind,
    Loaded,
    Rejected,
    detect_kind,
    dump_intents,
    load_settings,
    parse_document,
    parse_intents,
    parse_settings,
)
from .signals import SIGNALS

HOST_VARIABLE: Final = "SISKINPIER_HOST"
TOKEN_VARIABLE: Final = "SISKINPIER_TOKEN"
STATUS_EXIT_CODES: Final = {
    "ok": ExitCode.OK,
    "accepted": ExitCode.OK,
    "refused": ExitCode.REFUSED,
    "unknown": ExitCode.UNKNOWN_OUTCOME,
}


def main(argv: Sequence[str] | None = None) -> None:
    """Run one command and exit with its exit code."""
    raise SystemExit(int(run(sys.argv[1:] if argv is None else argv)))


def run(argv: Sequence[str]) -> int:
    """Run one command and return its exit code.

    Errors are printed to stderr, one line each, without a traceback.
    """
    try:
        command = parse_command(argv)
        code = ExitCode.OK if command is None else _execute(command)
        sys.stdout.flush()
        return code
    except CommandError as exc:
        _print_error(str(exc))
        return exc.code
    except BrokenPipeError:
        # The reader closed the pipe; redirect stdout so that the flush at interpreter
        # exit does not fail too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.INTERNAL
    except KeyboardInterrupt:
        _print_error("interrupted")
        return ExitCode.INTERNAL
    except Exception as exc:  # Print one line instead of a traceback.
        _print_error(f"internal error: {type(exc).__name__}: {exc}")
        return ExitCode.INTERNAL


def _execute(command: Command) -> int:
    """Run a command and return its exit code; raise `CommandError` if it fails."""
    match command:
        case Version(json=json):
            if json:
                _print_json({"version": __version__})
            else:
                print(__version__)
            return ExitCode.OK
        case Check():
            return _check(command)
        case Serve(settings=file):
            return _serve(file)
        case Ask(text=text, target=target):
            return _print_result(_make_client(target).ask(text), target)
        case Order(text=text, target=target):
            return _print_result(_make_client(target).order(text), target)
        case Apply():
            return _apply(command)
        case Explain():
            return _explain(command)
        case Platform():
            SIGNALS.open()
            # Imported here so that the other commands start faster.
            from .platform.process import run as run_on_platform
            from .platform.settings import PATH_VARIABLE

            return run_on_platform(os.environ.get(PATH_VARIABLE, ""))


def _explain(command: Explain) -> int:
    sources = [(file, _read_file(file).splitlines()) for file in command.files]
    explanation = explain_request(command.request_id, sources)
    for line in explanation.lines:
        pairs = " ".join(f"{key}={value}" for key, value in line.fields.items())
        print(f"{line.source}:{line.number}: {pairs}")
    print(f"cause: {explanation.cause}")
    if explanation.unreadable:
        print(f"skipped: {explanation.unreadable} lines that are not log lines")
    return ExitCode.OK if explanation.lines else ExitCode.REFUSED


def _check(command: Check) -> int:
    kind, result = _load_document(_read_file(command.file))
    errors = result.errors if isinstance(result, Rejected) else ()
    if command.json:
        rows = [asdict(error) for error in errors]
        _print_json({"ok": not errors, "kind": kind, "errors": rows})
    elif errors:
        _print_rejected(command.file, Rejected(errors=errors))
    else:
        print(f"{command.file}: {kind} are valid")
    return ExitCode.BAD_INPUT if errors else ExitCode.OK


def _load_document(text: str) -> tuple[DocumentKind | None, Loaded[Any] | Rejected]:
    parsed = parse_document(text)
    if isinstance(parsed, Rejected):
        return None, parsed
    kind = detect_kind(parsed.value)
    match kind:
        case DocumentKind.SETTINGS:
            return kind, parse_settings(parsed.value)
        case DocumentKind.INTENTS:
            return kind, parse_intents(parsed.value)
        case None:
            raise CommandError("the document is neither settings nor routing intents")


def _serve(file: str) -> int:
    SIGNALS.open()
    match load_settings(_read_file(file)):
        case Rejected() as rejected:
            _print_rejected(file, rejected)
            return ExitCode.BAD_INPUT
        case Loaded(value=settings):
            # Imported here so that the other commands start faster.
            from .edge.host import run_host

            return run_host(settings)


def _apply(command: Apply) -> int:
    document = parse_document(_read_file(command.file))
    if isinstance(document, Loaded) and "services" not in document.value:
        # A document without services would remove every service.
        raise CommandError(f"{command.file}: $.services: found nothing")
    match document:
        case Loaded(value=value):
            loaded = parse_intents(value)
        case Rejected() as rejected:
            loaded = rejected
    match loaded:
        case Rejected() as rejected:
            _print_rejected(command.file, rejected)
            return ExitCode.BAD_INPUT
        case Loaded(value=intents):
            return _apply_document(dump_intents(intents), command)


def _apply_document(document: dict[str, Any], command: Apply) -> int:
    """Print the difference, and apply it if the revision in force is still the same."""
    client = _make_client(command.target)
    target = command.target
    undo_orders = command.undo_orders
    comparison = client.compare(document, undo_orders=undo_orders)
    match comparison:
        case Reply(status="ok", base_revision=int() as base) if not command.dry_run:
            if not target.json:
                _print_difference(comparison)
            result = client.apply(document, base_revision=base, undo_orders=undo_orders)
            if isinstance(result, Reply) and not target.json:
                result = replace(result, difference=())
            return _print_result(result, target)
        case Reply(status="ok", difference=()) if not target.json:
            print("no difference")
            return ExitCode.OK
    return _print_result(comparison, target)


def _make_client(target: Target) -> OperatorClient:
    text = target.host or os.environ.get(HOST_VARIABLE, "")
    if not text:
        raise CommandError(f"no host given; use --host or {HOST_VARIABLE}")
    hosts = tuple(host.strip() for host in text.split(","))
    for host in hosts:
        if parse_ip_port(host) is None:
            raise CommandError(f"a host must be IP:PORT, not {host!r}")
    return OperatorClient(
        hosts=hosts,
        token=_read_token(target.token_file),
        ca=_make_tls_context(target.ca),
    )


def _make_tls_context(ca: str) -> ssl.SSLContext | None:
    """Return the TLS context that trusts `ca`, or None to use plain HTTP."""
    if not ca:
        return None
    _read_file(ca)
    try:
        return ssl.create_default_context(cafile=ca)
    except ssl.SSLError:
        raise CommandError(f"{ca}: not a PEM certificate") from None


def _read_token(token_file: str) -> str:
    if token_file:
        token = _read_file(token_file).strip()
    else:
        token = os.environ.get(TOKEN_VARIABLE, "").strip()
    if not (token.isascii() and token.isprintable()):
        raise CommandError(
            "the token contains characters that are not allowed in a header"
        )
    return token


def _read_file(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except UnicodeDecodeError:
        raise CommandError(f"{file}: not UTF-8 text") from None
    except (OSError, ValueError) as exc:
        reason = getattr(exc, "strerror", None) or str(exc)
        raise CommandError(f"{file}: {reason}") from None


def _print_result(result: OperatorResult, target: Target) -> int:
    match result:
        case Unreachable(reason=reason):
            raise CommandError(reason, code=ExitCode.UNREACHABLE)
        case UnknownOutcome(reason=reason):
            raise CommandError(reason, code=ExitCode.UNKNOWN_OUTCOME)
        case Reply() as reply:
            _print_reply(reply, target)
            return _get_exit_code(reply)


def _get_exit_code(reply: Reply) -> ExitCode:
    match reply:
        case Reply(status="accepted", data={"behind": [_, *_]}):
            return ExitCode.NOT_IN_FORCE
    return STATUS_EXIT_CODES[reply.status]


def _print_reply(reply: Reply, target: Target) -> None:
    if target.json:
        _print_json(asdict(reply))
        return
    _print_difference(reply)
    if STATUS_EXIT_CODES[reply.status] is not ExitCode.OK:
        _print_error(f"{reply.status}: {reply.text}")
    elif reply.text:
        print(reply.text)
    elif reply.version is not None:
        print(f"{reply.status}: version {reply.version}")


def _print_difference(reply: Reply) -> None:
    for row in reply.difference:
        print(row)


def _print_rejected(file: str, rejected: Rejected) -> None:
    for error in rejected.errors:
        _print_error(f"{file}: {error}")


def _print_json(value: object) -> None:
    print(json_codec.dumps(value, ensure_ascii=False, indent=2))


def _print_error(message: str) -> None:
    one_line = " ".join(message.split())
    print(f"{PROGRAM}: {one_line}", file=sys.stderr)
