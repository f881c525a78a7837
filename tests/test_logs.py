"""Tests of the log lines: the fast path must format them as the library does."""

import logging
import re
import sys

import pytest
from hypothesis import given, strategies as st
from logfmter import Logfmter

from siskinpier.core.verdict import Verdict
from siskinpier.logs import (
    LINE_KEYS,
    LINE_MAPPING,
    TIME_FORMAT,
    LineFormatter,
    configure_logging,
    log_event,
)

KEYS = st.from_regex(re.compile(r"[a-z_]{1,8}"), fullmatch=True)
VALUES = st.text() | st.none() | st.booleans() | st.integers() | st.floats()


class TestLineFormatter:
    """Any event must give the same line by the fast path and by the library."""

    @given(fields=st.dictionaries(KEYS, VALUES | st.sampled_from(Verdict)))
    def test_fast_path_matches_library(self, fields: dict[str, object]) -> None:
        library = Logfmter(keys=LINE_KEYS, mapping=LINE_MAPPING, datefmt=TIME_FORMAT)
        record = logging.LogRecord("x", logging.INFO, "", 0, fields, None, None)
        assert LineFormatter().format(record) == library.format(record)

    def test_secret_fields_are_redacted(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        configure_logging(logging.StreamHandler(sys.stderr))
        log_event("x", token="abc", Password="abc", name="shown")
        line = capsys.readouterr().err
        assert "event=x token=(hidden) Password=(hidden) name=shown" in line
