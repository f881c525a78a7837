"""The parser of the operators' query and command language.

The module `grammar` holds the grammar and docs/LANGUAGE.md documents it. Invalid text
gives a `LanguageError`; no text raises an exception.
"""

import re
from dataclasses import dataclass
from typing import Any, Final

from lark import Lark
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedInput,
    UnexpectedToken,
    VisitError,
)
from lark.lexer import PatternRE, PatternStr, TerminalDef

from .grammar import GRAMMAR, TERMINAL_TEXTS
from .interpretation import Command, TokenValueError, interpret
from .queries import Question

MAX_TEXT_CHARS: Final = 2_000
MAX_SHOWN_CHARS: Final = 40
WORD_END: Final = r"(?!\S)"
_WORD_PATTERN: Final = re.compile(r'"[^"]*"?|\S+')


@dataclass(frozen=True, slots=True, kw_only=True)
class LanguageError:
    """A syntax or value error in the text of a question or order.

    `column` counts characters from 1, `found` is the invalid text at that column, and
    `allowed` describes what is allowed there.
    """

    column: int
    found: str
    allowed: tuple[str, ...]

    @property
    def reason(self) -> str:
        """Return a one-line description of the error."""
        allowed = ", ".join(self.allowed)
        return f"column {self.column}: found {self.found}; allowed: {allowed}"


def parse_question(text: str) -> Question | LanguageError:
    """Parse a question; return a `LanguageError` if the text is not one."""
    result: Question | LanguageError = _parse(text, "question")
    return result


def parse_order(text: str) -> Command | LanguageError:
    """Parse an order; return a `LanguageError` if the text is not one."""
    result: Command | LanguageError = _parse(text, "command")
    return result


def _parse(text: str, start: str) -> Any:
    if len(text) > MAX_TEXT_CHARS:
        return LanguageError(
            column=MAX_TEXT_CHARS + 1,
            found=f"{len(text)} characters",
            allowed=(f"up to {MAX_TEXT_CHARS} characters",),
        )
    try:
        return interpret(_PARSER.parse(text, start=start))
    except UnexpectedInput as exc:
        return _make_error(text, start, exc)
    except VisitError as exc:
        if not isinstance(exc.orig_exc, TokenValueError):
            raise
        token = exc.orig_exc.token
        return LanguageError(
            column=(token.start_pos or 0) + 1,
            found=_quote(str(token)),
            allowed=(exc.orig_exc.allowed,),
        )


def _make_error(text: str, start: str, exc: UnexpectedInput) -> LanguageError:
    names: set[str] = set()
    match exc:
        case UnexpectedToken():
            names = exc.accepts or exc.expected
        case UnexpectedCharacters(pos_in_stream=int() as end):
            names = _list_accepted(text[:end], start) or exc.allowed or set()
    position = exc.pos_in_stream
    is_end = isinstance(exc, UnexpectedToken) and exc.token.type == "$END"
    if position is None or is_end:
        position = len(text)
    word = _WORD_PATTERN.match(text, position)
    found = _quote(word.group()) if word else TERMINAL_TEXTS["$END"]
    allowed = tuple(sorted({_describe_terminal(name) for name in names}))
    return LanguageError(column=position + 1, found=found, allowed=allowed)


def _list_accepted(text: str, start: str) -> set[str]:
    """Return the terminals that may follow a text; empty if the text is invalid."""
    # The lexer's own list also holds terminals that are allowed only elsewhere.
    parser = _PARSER.parse_interactive(text, start=start)
    try:
        parser.exhaust_lexer()
    except UnexpectedInput:
        return set()
    accepted: set[str] = parser.accepts()  # type: ignore[no-untyped-call]
    return accepted


def _quote(word: str) -> str:
    if len(word) > MAX_SHOWN_CHARS:
        word = word[:MAX_SHOWN_CHARS] + "..."
    return ascii(word)


def _describe_terminal(name: str) -> str:
    return TERMINAL_TEXTS.get(name) or _KEYWORDS[name]


def _match_whole_keyword(terminal: TerminalDef) -> None:
    """Make a keyword match a whole word only, not the start of a longer one."""
    if isinstance(terminal.pattern, PatternStr):
        word = terminal.pattern.value
        _KEYWORDS[terminal.name] = word
        terminal.pattern = PatternRE(re.escape(word) + WORD_END)


_KEYWORDS: Final[dict[str, str]] = {}
_PARSER: Final = Lark(
    GRAMMAR,
    parser="lalr",
    start=["question", "command"],
    edit_terminals=_match_whole_keyword,
)
