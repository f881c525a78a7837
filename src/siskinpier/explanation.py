"""The story of one request, from the log lines of several hosts."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

# One key=value pair; a value with blanks is in quotes.
_PAIR: Final = re.compile(r'([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|\S*)')
SLOW_FROM: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """A log line's fields, and where it stood."""

    source: str
    number: int
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return self.fields.get("event", "")

    @property
    def moment(self) -> tuple[str, int, str, int]:
        """Return what orders the lines of several hosts."""
        ms = self.fields.get("ms", "0")
        stamp = int(ms) if ms.isdigit() else 0
        return self.fields.get("at", ""), stamp, self.source, self.number


@dataclass(slots=True, kw_only=True)
class Story:
    """What the logs tell of a request; `unreadable` counts lines passed over."""

    lines: list[LogLine] = field(default_factory=list)
    unreadable: int = 0
    cause: str = "no line names this request"


def parse_line(text: str) -> dict[str, str] | None:
    """Return the fields of a line, or None where it is no log line."""
    fields = {key: _unquote(value) for key, value in _PAIR.findall(text)}
    return fields if "event" in fields else None


def tell_story(request_id: str, sources: Iterable[tuple[str, Iterable[str]]]) -> Story:
    """Return the lines about a request in order, and its cause."""
    story = Story()
    for source, texts in sources:
        for number, text in enumerate(texts, start=1):
            fields = parse_line(text)
            if fields is None:
                story.unreadable += bool(text.strip())
            elif is_about(fields, request_id):
                line = LogLine(source=source, number=number, fields=fields)
                story.lines.append(line)
    story.lines.sort(key=lambda line: line.moment)
    if story.lines:
        story.cause = find_cause([line.fields for line in story.lines])
    return story


def is_about(fields: dict[str, str], request_id: str) -> bool:
    """Return True if a line is about the request, at any host.

    At a service's home the id stands between the holder's name and a number.
    """
    call = fields.get("call", "")
    if call == request_id:
        return True
    parts = call.split("/")
    return len(parts) == 3 and parts[1] == request_id


def find_cause(lines: list[dict[str, str]]) -> str:
    """Return in a sentence why the request ended as it did."""
    ends = [row for row in lines if row["event"] in ("refuse", "answer", "cancelled")]
    if not ends:
        return "no end is logged: it runs still, or its host ended"
    end = ends[-1]
    match end["event"]:
        case "cancelled":
            after_s = end.get("after_s", "?")
            stage = end.get("stage", "?")
            return f"the caller went away after {after_s} s, while {stage}"
        case "refuse":
            return _explain_refusal(end, lines)
        case _:
            return _explain_answer(end, lines)


def _explain_refusal(end: dict[str, str], lines: list[dict[str, str]]) -> str:
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


def _explain_answer(end: dict[str, str], lines: list[dict[str, str]]) -> str:
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
        return text is not None and float(text) >= SLOW_FROM
    except ValueError:
        return False


def _unquote(value: str) -> str:
    if len(value) >= 2 and value[0] == value[-1] == '"':
        return value[1:-1].replace('\\"', '"')
    return value
