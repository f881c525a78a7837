"""Guards against hosts that call the store at full speed because of its answers.

Calls of the store are priced and limited for all hosts together. A host must wait
between calls that bring it no further, and follow the store again afterwards.
"""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

from tests.standins.metadata_store import MetadataStore
from tests.standins.platform_host import (
    Deployment,
    make_entry,
    run_deployment,
    wait_until,
)

WINDOW_S: Final = 2.0
# Lists and watches of one kind of objects that a host may send in a second.
MAX_CALLS_PER_S: Final = 5
KINDS: Final = ("config", "servers")
HTML: Final = b"<html><body>Welcome</body></html>"
WATCH_REPLIES: Final = {
    "gone": (410, b"{}"),
    "no changes": (200, b'{"events":[],"storeRevision":1}'),
    "unreadable events": (200, b'{"events":[{},7],"storeRevision":1}'),
    "no events": (200, b'{"storeRevision":1}'),
    "no revision": (200, b'{"events":[]}'),
    "large revision": (200, b'{"events":[],"storeRevision":18446744073709551616}'),
    "HTML": (200, HTML),
    "empty": (200, b""),
    "bad request": (400, b"{}"),
}
LIST_REPLIES: Final = {
    "no items": (200, b'{"hasMore":false,"storeRevision":1}'),
    "no revision": (200, b'{"items":[],"hasMore":false}'),
    "endless": (
        200,
        b'{"items":[{"metadata":{"name":"a","revision":1}}],"hasMore":true,'
        b'"storeRevision":1}',
    ),
    "HTML": (200, HTML),
    "empty": (200, b""),
    "not found": (404, b"{}"),
}


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Run a deployment whose host is ready."""
    with run_deployment(tmp_path) as deployment:
        yield deployment


def check_rate(store: MetadataStore) -> None:
    """Assert that a host waits between its calls for a while."""
    before = len(store.calls)
    started_at = time.monotonic()
    time.sleep(WINDOW_S)
    calls = store.calls[before:]
    limit = MAX_CALLS_PER_S * (time.monotonic() - started_at) + MAX_CALLS_PER_S
    for kind in KINDS:
        assert sum(path.endswith(f"/{kind}") for _, path, _ in calls) <= limit


def check_recovery(deployment: Deployment) -> None:
    """Assert that the host uses a server that registers now."""
    store = deployment.store
    store.watch_reply = store.list_reply = None
    address = store.objects["servers", "i-1"]["spec"]["address"]
    store.put("servers", "i-2", make_entry(address))
    wait_until(lambda: "server=i-2 " in deployment.host.read_log())
    assert deployment.host.child.poll() is None
    assert "state=gone" not in deployment.host.read_log()


class TestWatches:
    """Watches that are answered at once, or not as they should be."""

    @pytest.mark.parametrize("name", WATCH_REPLIES)
    def test_host_waits_and_recovers(self, name: str, deployment: Deployment) -> None:
        store = deployment.store
        store.watch_reply = WATCH_REPLIES[name]
        # Ends the watches that wait.
        store.put("config", "other", {})
        address = store.objects["servers", "i-1"]["spec"]["address"]
        store.put("servers", "i-1", make_entry(address))
        check_rate(store)
        check_recovery(deployment)


class TestLists:
    """Lists that are not answered as they should be."""

    @pytest.mark.parametrize("name", LIST_REPLIES)
    def test_host_waits_and_recovers(self, name: str, deployment: Deployment) -> None:
        deployment.store.list_reply = LIST_REPLIES[name]
        deployment.store.watch_reply = WATCH_REPLIES["gone"]
        deployment.store.put("others", "a", {})
        deployment.store.drop_history()
        check_rate(deployment.store)
        check_recovery(deployment)
