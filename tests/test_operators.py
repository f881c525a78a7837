"""Guards against operators' requests that change the configuration unintentionally.

A request could come without a valid token, be malformed, be based on an older revision,
or undo another operator's order.
"""

import json
from functools import partial
from typing import Any

import pytest
from hypothesis import given, strategies as st

from siskinpier.core.configuration.intents import (
    BackendServer,
    RoutingIntents,
    ServiceIntent,
)
from siskinpier.core.configuration.orders import OrderResult, SetHostLeaving
from siskinpier.core.state import Lifecycle
from siskinpier.edge import operators
from siskinpier.edge.operator_requests import BODY_LIMIT_BYTES
from siskinpier.settings.documents import dump_intents
from siskinpier.settings.host import SecuritySettings
from tests.standins.virtual_shell import VirtualShell, send_request

TOKEN = "token-of-the-default-operator"
ANA_TOKEN = "token-of-ana-kovac"
SECURITY = SecuritySettings(
    operator_token=TOKEN, operator_tokens={"ana": ANA_TOKEN}, peer_key="k" * 16
)
INTENTS = RoutingIntents(
    revision=1,
    services=(
        ServiceIntent(
            name="search",
            servers=(
                BackendServer(name="a", address="127.0.0.1:80", failure_domain="d1"),
                BackendServer(name="b", address="127.0.0.1:81", failure_domain="d2"),
            ),
        ),
    ),
)


def make_shell() -> VirtualShell:
    """Return a shell whose deployment has the intents in force."""
    return VirtualShell(intents=INTENTS, hosts=2, security=SECURITY)


@pytest.fixture
def shell() -> VirtualShell:
    """Return a shell whose deployment has the intents in force."""
    return make_shell()


def send(shell: VirtualShell, path: str, body: Any, token: str = TOKEN) -> Any:
    """Send one request with an operator's token."""
    return send_request(shell, path, body, token)


def order(shell: VirtualShell, text: str, token: str = TOKEN) -> Any:
    """Give an order and return the reply's document."""
    return send(shell, "/order", {"text": text}, token).json()


JSON = st.recursive(
    st.none() | st.integers() | st.text(),
    lambda inner: st.dictionaries(
        st.sampled_from(("document", "text", "services", "dry_run")), inner
    ),
    max_leaves=5,
)


class TestAccess:
    """Only holders of a token are served; an order records the token's name."""

    @pytest.mark.parametrize(
        "token", ["", TOKEN[:-1], TOKEN + "x", ANA_TOKEN.upper(), "é"]
    )
    @pytest.mark.parametrize("path", ["/ask", "/order", "/apply"])
    def test_wrong_token_is_refused(
        self, shell: VirtualShell, token: str, path: str
    ) -> None:
        response = send(shell, path, {"text": "leave host h"}, token)
        assert response.status_code == 401
        assert shell.operators == []

    def test_order_carries_the_name_of_its_operator(self, shell: VirtualShell) -> None:
        order(shell, "leave host h")
        order(shell, "stay host h wait", ANA_TOKEN)
        assert shell.operators == ["operator", "ana"]
        row = send(shell, "/ask", {"text": "configuration"}).json()["data"][0]
        assert (row["by"], row["behind"]) == ("ana", "")
        assert TOKEN not in repr(SECURITY) and ANA_TOKEN not in repr(SECURITY)


class TestRequests:
    """A bad request gets a specific error and changes nothing."""

    @pytest.mark.parametrize(
        ("path", "body", "status", "text"),
        [
            ("/ask", b"{", 400, "not JSON"),
            ("/ask", b"[" * 100_000, 400, "not JSON"),
            ("/ask", b"\xff", 400, "not JSON"),
            ("/ask", [], 400, "not a JSON object"),
            ("/ask", b" " * (BODY_LIMIT_BYTES + 1), 413, "larger than"),
            ("/ask", {}, 400, "$.text: found nothing"),
            ("/order", {"text": 7}, 400, "$.text: found 7"),
            ("/order", {"text": "", "color": 1}, 400, "$.color"),
            ("/order", {"text": "", "update_id": "../x"}, 400, "$.update_id"),
            ("/order", {"text": "drain srv"}, 400, "column 7: found 'srv'"),
            ("/order", {"text": "drain server x of search"}, 409, "'x'"),
            ("/ask", {"text": "servers of x"}, 404, "declared: search"),
            ("/ask", {"text": "explain abc"}, 404, "search the logs"),
            ("/apply", {}, 400, "$.document: found nothing"),
            ("/apply", {"document": {}}, 400, "services: found nothing"),
            ("/apply", {"document": {"services": [], "color": 1}}, 400, "$.color"),
            ("/apply", {"document": [], "dry_run": 1}, 400, "$.dry_run"),
            ("/nothing", {}, 404, "no such resource"),
        ],
    )
    def test_bad_request_is_refused(
        self, shell: VirtualShell, path: str, body: Any, status: int, text: str
    ) -> None:
        response = send(shell, path, body)
        assert (response.status_code, response.json()["status"]) == (status, "refused")
        assert text in response.json()["text"]
        assert shell.state.intents.revision == 1

    @given(st.binary() | st.text().map(str.encode) | JSON.map(json.dumps))
    def test_arbitrary_bodies_change_nothing(self, body: bytes | str) -> None:
        raw = body.encode() if isinstance(body, str) else body
        for path in ("/ask", "/order", "/apply"):
            status = send(BAD_INPUT_SHELL, path, raw).status_code
            assert status in ((200, 400, 404) if path == "/ask" else (400,))
        assert BAD_INPUT_SHELL.state.intents == INTENTS


class TestOrders:
    """The reply to an order states its result and where it is in force."""

    def test_wait_until_in_force_everywhere(self, shell: VirtualShell) -> None:
        reply = order(shell, "drain server a of search wait")
        assert reply["text"] == "accepted as version 2, in force on every live host"
        row = send(shell, "/ask", {"text": "servers"}).json()["data"][0]
        assert (row["state"], row["avoided"]) == ("draining", "draining by declaration")

    def test_wait_names_the_hosts_that_lack_the_revision(
        self, shell: VirtualShell
    ) -> None:
        shell.world.hosts["host-1"].freeze()
        reply = order(shell, "leave host h wait 100ms")
        assert reply["text"] == (
            "accepted as version 2, but not known in force after 0.1s on: host-1"
        )
        assert reply["data"]["behind"] == ["host-1"]

    def test_guarded_order_is_refused_after_a_newer_revision(
        self, shell: VirtualShell
    ) -> None:
        assert (
            order(shell, "leave host h if revision 1", ANA_TOKEN)["status"]
            == "accepted"
        )
        reply = order(shell, "stay host h if revision 1")
        assert reply["status"] == "refused"
        assert "revision 2 by ana is newer" in reply["text"]

    def test_one_of_two_concurrent_orders_is_refused(self, shell: VirtualShell) -> None:
        results: dict[str, OrderResult] = {}
        for host, operator in (("host-0", "ana"), ("host-1", "ivo")):
            shell.world.hosts[host].give_order(
                SetHostLeaving(host=operator, leaving=True),
                operator,
                partial(results.__setitem__, operator),
            )
        shell.world.run_for(15.0)
        winner, loser = sorted(results.values(), key=lambda result: result.status)
        assert (winner.status, winner.revision) == ("accepted", 2)
        assert (loser.status, loser.revision) == ("refused", 2)
        assert "revision 2 by" in loser.detail


class TestApply:
    """Apply reports every difference and undoes an order only if explicitly allowed."""

    def apply(self, shell: VirtualShell, **fields: Any) -> Any:
        document = {
            **dump_intents(INTENTS),
            "revision": 0,
            **fields.pop("document", {}),
        }
        return send(shell, "/apply", {"document": document, **fields}).json()

    def test_dry_run_changes_nothing(self, shell: VirtualShell) -> None:
        reply = self.apply(shell, dry_run=True, document={"leaving_hosts": ["h"]})
        assert reply["difference"] == ["+ leaving host h"]
        assert (reply["base_revision"], shell.state.intents.revision) == (1, 1)

    def test_order_is_undone_only_if_allowed(self, shell: VirtualShell) -> None:
        order(shell, "drain server a of search")
        reply = self.apply(shell)
        line = "~ server a of search state draining -> active"
        assert (reply["status"], reply["difference"]) == ("refused", [line])
        assert line in reply["text"]
        reply = self.apply(shell, undo_orders=True, base_revision=2)
        assert (reply["status"], reply["version"]) == ("accepted", 3)

    def test_host_without_intents_reports_no_difference(
        self, shell: VirtualShell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(operators, "INTENTS_WAIT_S", 0.05)
        shell.state.intents_known = False
        reply = self.apply(shell)
        assert (reply["status"], "difference" in reply) == ("refused", False)

    @pytest.mark.parametrize(
        "fields", [{"base_revision": 1}, {"document": {"revision": 1}}]
    )
    def test_document_for_an_older_revision_is_refused(
        self, shell: VirtualShell, fields: dict[str, Any]
    ) -> None:
        order(shell, "leave host h", ANA_TOKEN)
        reply = self.apply(shell, undo_orders=True, **fields)
        assert reply["status"] == "refused"
        assert "revision 2 by ana is newer" in reply["text"]
        assert shell.state.intents.revision == 2


class TestReadiness:
    """A host that is not ready reports what it lacks."""

    @pytest.mark.parametrize(
        ("lifecycle", "known", "lacks"),
        [
            (Lifecycle.READY, True, ""),
            (Lifecycle.STARTING, False, "no routing intents yet"),
            (Lifecycle.LEAVING, True, "leaving"),
        ],
    )
    def test_lifecycle_stages(
        self, shell: VirtualShell, lifecycle: Lifecycle, known: bool, lacks: str
    ) -> None:
        shell.state.lifecycle = lifecycle
        shell.state.intents_known = known
        response = send(shell, "/ready", None)
        assert response.status_code == (503 if lacks else 200)
        assert lacks in response.json()["lacks"]

    def test_host_that_leaves_by_order_is_not_ready(self, shell: VirtualShell) -> None:
        order(shell, "leave host host-0")
        assert "by an order" in send(shell, "/ready", None).json()["lacks"]


BAD_INPUT_SHELL = make_shell()
