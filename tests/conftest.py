"""Shared pytest setup: the Hypothesis profile and the list of known failures.

`KNOWN-RED.txt` in the root directory lists known failures, one per line:
`test-id | command and seed | what was seen | issue`. The failure of a listed test
does not fail the run; any other failure does.
"""

import importlib
import pkgutil
from collections.abc import Generator
from typing import Final

import pytest
from hypothesis import settings

import siskinpier

KNOWN_RED_FILE: Final = "KNOWN-RED.txt"
KNOWN_RED: Final = "known red"
PASSES_NOW: Final = "passes now"
KNOWN_RED_IDS: Final = pytest.StashKey[frozenset[str]]()


def import_all_modules() -> None:
    """Import all modules of the package before any test runs.

    Hypothesis draws constants from the loaded modules, so its examples would otherwise
    depend on which tests ran earlier in the same process.
    """
    for module in pkgutil.walk_packages(siskinpier.__path__, "siskinpier."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


import_all_modules()
settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")


def parse_known_red(text: str) -> frozenset[str]:
    """Return the test ids in the text of a list of known failures."""
    rows = (row.strip() for row in text.splitlines())
    return frozenset(
        row.split(" | ")[0].strip() for row in rows if row and not row.startswith("#")
    )


def pytest_configure(config: pytest.Config) -> None:
    """Read the list of known failures."""
    path = config.rootpath / KNOWN_RED_FILE
    text = path.read_text(encoding="utf-8") if path.exists() else ""
    config.stash[KNOWN_RED_IDS] = parse_known_red(text)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report the failure of a listed test as a known failure."""
    report = yield
    if item.nodeid not in item.config.stash[KNOWN_RED_IDS]:
        return report
    if report.failed:
        # Pytest does not count a skipped report with `wasxfail` as a failure.
        report.outcome = "skipped"
        report.wasxfail = KNOWN_RED
    return report


@pytest.hookimpl(tryfirst=True)
def pytest_report_teststatus(
    report: pytest.TestReport | pytest.CollectReport, config: pytest.Config
) -> tuple[str, str, str] | None:
    """Put known failures and listed tests that pass into separate categories."""
    if getattr(report, "wasxfail", None) == KNOWN_RED:
        return KNOWN_RED, "k", "KNOWN RED"
    is_listed = report.nodeid in config.stash[KNOWN_RED_IDS]
    if is_listed and report.passed and getattr(report, "when", None) == "call":
        return PASSES_NOW, ".", "PASSES NOW"
    return None


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures and the listed tests that pass."""
    for category in (KNOWN_RED, PASSES_NOW):
        for report in terminalreporter.getreports(category):
            terminalreporter.write_line(f"{category}: {report.nodeid}")
