"""Explains how one request ended, from the log lines of several hosts."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

# One key=value pair; values that contain spaces are quoted.
_PAIR: Final = re.compile(r'([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Slowdown, as a multiple of the usual service time, from which the cause mentions it.
SLOW_FACTOR: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """The fields of a log line, with its source file and line number."""

    source: str
    number: int
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The name of the logged event."""
        return self.fields.get("event", "")

    @property
    def sort_key(self) -> tuple[str, int, str, int]:
        """The key that sorts the lines of several hosts by time."""
        ms = self.fields.get("ms", "0")
        stamp = int(ms) if ms.isdigit() else 0
        return self.fields.get("at", ""), stamp, self.source, self.number


@dataclass(slots=True, kw_only=True)
class RequestExplanation:
    """The log lines about a request, in order of time, and why it ended as it did.

    `unreadable` counts skipped lines that are not log lines.
    """

    lines: list[LogLine] = field(default_factory=list)
    unreadable: int = 0
    cause: str = "no line names this request"


def parse_line(text: str) -> dict[str, str] | None:
    """Return the fields of a line, or None if it is not a log line."""
    fields = {key: _unquote(value) for key, value in _PAIR.findall(text)}
    return fields if "event" in fields else None


def explain_request(
    request_id: str, sources: Iterable[tuple[str, Iterable[str]]]
) -> RequestExplanation:
    """Return the lines about a request in order of time, and the cause of its end.

    `sources` yields the name of each log file and its lines.
    """
    explanation = RequestExplanation()
    for source, texts in sources:
        for number, text in enumerate(texts, start=1):
            fields = parse_line(text)
            if fields is None:
                explanation.unreadable += bool(text.strip())
            elif is_about_request(fields, request_id):
                line = LogLine(source=source, number=number, fields=fields)
                explanation.lines.append(line)
    explanation.lines.sort(key=lambda line: line.sort_key)
    if explanation.lines:
        explanation.cause = describe_cause([line.fields for line in explanation.lines])
    return explanation


def is_about_request(fields: dict[str, str], request_id: str) -> bool:
    """Return True if a log line, of whichever host, is about the request.

    The home of a service logs the call as `HOLDER/REQUEST_ID/NUMBER`.
    """
    call = fields.get("call", "")
    if call == request_id:
        return True
    parts = call.split("/")
    return len(parts) == 3 and parts[1] == request_id


def describe_cause(lines: list[dict[str, str]]) -> str:
    """Return one sentence that says why the request ended as it did."""
    ends = [row for row in lines if row["event"] in ("refuse", "answer", "cancelled")]
    if not ends:
        return "no end is logged: the request is still running, or its host stopped"
    end = ends[-1]
    match end["event"]:
        case "cancelled":
            after_s = end.get("after_s", "?")
            stage = end.get("stage", "?")
            return f"the caller went away after {after_s} s, while {stage}"
        case "refuse":
            return _describe_refusal(end, lines)
        case _:
            return _describe_answer(end, lines)


def _describe_refusal(end: dict[str, str], lines: list[dict[str, str]]) -> str:
    sent = [row for row in lines if row["event"] == "route"]
    granted = [row for row in lines if row["event"] == "grant"]
    status, verdict = end.get("status", "?"), end.get("verdict", "?")
    reason = end.get("reason", "?")
    text = f"refused with {status}, verdict {verdict}: {reason}"
    detail = end.get("detail")
    if detail:
        text += f" ({detail})"
    if sent and verdict != "not-run":
        text += f"; it had been sent to {sent[-1].get('target', '?')}"
    elif not sent:
        text += "; it was sent to no backend server"
    if granted and not sent:
        target = granted[-1].get("target", "?")
        text += f", though its home granted a slot at {target}"
    return text


def _describe_answer(end: dict[str, str], lines: list[dict[str, str]]) -> str:
    total_s, latency_s = end.get("total_s", "?"), end.get("latency_s", "?")
    text = (
        f"answered by {end.get('target', '?')} after {total_s} s, {latency_s} s there"
    )
    if _is_slow(end.get("slowdown")):
        text += f"; the server was {end['slowdown']} times slower than usual"
    if any(row["event"] == "queue" for row in lines):
        sent = [row for row in lines if row["event"] == "route"]
        waited_s = sent[0].get("waited_s", "?") if sent else "?"
        text += f"; it waited {waited_s} s for a slot"
    retries = sum(row["event"] == "retry" for row in lines)
    if retries:
        text += f"; {retries} earlier attempts failed"
    return text


def _is_slow(text: str | None) -> bool:
    try:
        return text is not None and float(text) >= SLOW_FACTOR
    except ValueError:
        return False


def _unquote(value: str) -> str:
    if len(value) >= 2 and value[0] == value[-1] == '"':
        return value[1:-1].replace('\\"', '"')
    return value
