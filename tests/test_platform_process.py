"""Guards against faults of whole host processes on the users' platform.

A host could lose requests at its start or stop, buffer large replies, miss changes of
the store, or claim that a request has not run although it may have.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

from siskinpier.core.state import CoreSettings, HostIdentity, make_state
from siskinpier.explanation import explain_request
from siskinpier.metrics import HostMetrics
from tests.standins.app_thread import AppThread
from tests.standins.metadata_store import MetadataStore
from tests.standins.platform_host import (
    CHUNK,
    CHUNK_COUNT,
    CONFIG,
    HANG_TIMEOUT_S,
    Backend,
    Deployment,
    PlatformHost,
    is_listening,
    list_log_fields,
    make_entry,
    run_deployment,
    wait_until,
)
from tests.standins.process import ROOT


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Run a deployment whose host is ready."""
    with run_deployment(tmp_path) as deployment:
        yield deployment


class TestCalls:
    """Replies to callers, and header fields sent to backend servers."""

    def test_reply_is_passed_on(self, deployment: Deployment) -> None:
        reply = deployment.host.send_request("/search/a%2Fb?q=1")
        assert (reply.status_code, reply.content) == (200, b"found it")
        assert reply.headers["x-response-signature"] == "sig"
        seen = [run for b in deployment.backends.values() for run in b.runs]
        assert seen[0]["x-request-id"] == "r1"
        assert 0 < int(seen[0]["x-deadline-ms"]) <= 1000

    def test_unknown_route(self, deployment: Deployment) -> None:
        assert deployment.host.send_request("/other/").status_code == 404
        assert (
            deployment.host.send_request("/search/", Host="else.example").status_code
            == 404
        )

    def test_rejected_call_gets_retry_after(self, deployment: Deployment) -> None:
        deployment.set_behavior("reject")
        reply = deployment.host.send_request("/pay/1", method="POST")
        assert reply.status_code == 503
        assert 0.0 < float(reply.headers["retry-after"]) <= 1.0
        assert deployment.count_runs() == 0

    def test_failed_call_that_may_have_run(self, deployment: Deployment) -> None:
        # Passing on the backend server's 503 would tell the caller that the call has
        # not run.
        deployment.set_behavior("fail")
        reply = deployment.host.send_request("/pay/1", method="POST")
        assert reply.status_code == 502
        assert "x-response-signature" not in reply.headers
        assert deployment.count_runs() == 1

    def test_success_without_signature_is_no_success(
        self, deployment: Deployment
    ) -> None:
        deployment.set_behavior("unsigned")
        reply = deployment.host.send_request("/search/")
        assert reply.status_code == 502
        assert b"found it" not in reply.content

    def test_safe_call_is_retried_within_its_attempts(
        self, deployment: Deployment
    ) -> None:
        deployment.set_behavior("fail")
        deployment.host.send_request("/search/1")
        assert deployment.count_runs() == 2

    def test_deadline(self, deployment: Deployment) -> None:
        deployment.set_behavior("hold")
        reply = deployment.host.send_request(
            "/pay/1", method="POST", X_Deadline_Ms="200"
        )
        assert reply.status_code == 504
        # The deadline that the core got; that the core ends the call at that time is
        # tested in virtual time. Without the header field it would be the route's 1 s.
        [sent] = list_log_fields(deployment.host.read_log(), "route")
        assert 0.0 < float(sent["left_s"]) <= 0.2

    def test_repeated_field_is_refused(self, deployment: Deployment) -> None:
        with socket.create_connection(("127.0.0.1", deployment.host.front)) as sock:
            sock.sendall(
                b"GET /search/ HTTP/1.1\r\nHost: films.example\r\n"
                b"X-Deadline-Ms: 1\r\nX-Deadline-Ms: 2\r\n\r\n"
            )
            assert sock.recv(100).startswith(b"HTTP/1.1 400")


class TestDownloads:
    """Large replies are streamed, and never held in memory as a whole."""

    # Limit on the memory for a reply of 30 MB, and for callers that stop reading.
    BOUND_BYTES = 8 * 1_048_576
    READERS = 6

    def test_large_reply_uses_bounded_memory(self, deployment: Deployment) -> None:
        deployment.host.send_request("/search/1")
        before = deployment.host.get_peak_bytes()
        reply = deployment.host.send_request("/export/1", X_Deadline_Ms="30000")
        assert len(reply.content) == len(CHUNK) * CHUNK_COUNT
        assert deployment.host.get_peak_bytes() - before < self.BOUND_BYTES

    def test_callers_that_stop_reading_use_bounded_memory(
        self, deployment: Deployment
    ) -> None:
        deployment.host.send_request("/search/1")
        before = deployment.host.get_peak_bytes()
        readers = []
        for n in range(self.READERS):
            sock = socket.create_connection(("127.0.0.1", deployment.host.front))
            sock.sendall(
                b"GET /export/%d HTTP/1.1\r\nHost: films.example\r\n"
                b"X-Request-Id: slow%d\r\nX-Deadline-Ms: 30000\r\n\r\n" % (n, n)
            )
            assert sock.recv(100).startswith(b"HTTP/1.1 200")
            readers.append(sock)
        assert deployment.host.send_request("/search/2").status_code == 200
        assert deployment.host.get_peak_bytes() - before < self.BOUND_BYTES
        for sock in readers:
            sock.close()


class TestStart:
    """Callers that connect before a host is ready wait, or are refused."""

    def test_first_callers_are_served(self, tmp_path: Path) -> None:
        store, backend = MetadataStore(), Backend(name="i-1")
        with AppThread(store) as served, AppThread(backend) as first:
            store.put("config", "main", CONFIG)
            store.put("servers", "i-1", make_entry(first.address))
            store.delay_s = 0.05
            host = PlatformHost(folder=tmp_path, store=served.address)
            try:
                wait_until(lambda: is_listening(host.front))
                reply = host.send_request("/search/1")
                assert reply.status_code == 200, host.read_log()
            finally:
                host.stop()

    def test_host_without_configuration_refuses(self, tmp_path: Path) -> None:
        store = MetadataStore()
        store.mode = "busy"
        with AppThread(store) as served:
            host = PlatformHost(folder=tmp_path, store=served.address)
            try:
                wait_until(lambda: is_listening(host.front))
                reply = host.send_request("/search/1")
                assert reply.status_code == 503
                assert "retry-after" in reply.headers
            finally:
                host.stop()


class TestDiscovery:
    """Hosts find each other although the store's lists are incomplete."""

    def test_lagging_list(self, tmp_path: Path) -> None:
        store = MetadataStore()
        store.unlisted_kinds = {"siskinpier-hosts"}
        with AppThread(store) as served:
            one = PlatformHost(folder=tmp_path, store=served.address, name="front-1")
            wait_until(lambda: ("siskinpier-hosts", "front-1") in store.objects)
            two = PlatformHost(folder=tmp_path, store=served.address, name="front-2")
            try:
                wait_until(lambda: ("siskinpier-hosts", "front-2") in store.objects)
                store.unlisted_kinds = set()
                wait_until(lambda: "live=front-1,front-2" in two.read_log())
                wait_until(lambda: "live=front-1,front-2" in one.read_log())
            finally:
                one.stop()
                two.stop()

    def test_seeds_without_list(self, tmp_path: Path) -> None:
        store = MetadataStore()
        store.unlisted_kinds = {"siskinpier-hosts"}
        with AppThread(store) as served:
            one = PlatformHost(folder=tmp_path, store=served.address, name="front-1")
            two = PlatformHost(
                folder=tmp_path,
                store=served.address,
                name="front-2",
                seeds=f"127.0.0.1:{one.control}",
            )
            try:
                wait_until(lambda: "live=front-1,front-2" in two.read_log())
                wait_until(lambda: "live=front-1,front-2" in one.read_log())
            finally:
                one.stop()
                two.stop()


class TestRegistry:
    """A host follows changes of the registry and of the configuration."""

    def test_draining_server_gets_nothing(self, deployment: Deployment) -> None:
        store = deployment.store
        for name, item in (("i-1", store.objects["servers", "i-1"]),):
            spec = {**item["spec"], "status": {"state": "draining", "sequence": 2}}
            store.put("servers", name, spec)
        wait_until(lambda: "state=draining" in deployment.host.read_log())
        before = len(deployment.backends["i-1"].runs)
        for _ in range(10):
            assert deployment.host.send_request("/search/").status_code == 200
        assert len(deployment.backends["i-1"].runs) == before

    def test_lost_history(self, deployment: Deployment) -> None:
        store = deployment.store
        store.drop_history()
        store.delete("servers", "i-1")
        store.drop_history()
        wait_until(lambda: "state=gone" in deployment.host.read_log())
        assert deployment.host.send_request("/search/").status_code == 200

    def test_unreadable_entry(self, deployment: Deployment) -> None:
        log = deployment.host.read_log()
        assert log.count("event=entry-unreadable") == 1

    def test_outage_costs_no_call(self, deployment: Deployment) -> None:
        deployment.store.mode = "silent"
        wait_until(lambda: "event=platform-lost" in deployment.host.read_log())
        assert deployment.host.send_request("/search/").status_code == 200
        deployment.store.mode = ""
        wait_until(lambda: "event=platform-regained" in deployment.host.read_log())

    def test_new_configuration(self, deployment: Deployment) -> None:
        config = json.loads(json.dumps(CONFIG))
        config["version"] = "0000000a"
        config["listeners"][0]["rules"][0]["match"]["pathPrefix"] = "/find/"
        deployment.store.put("config", "main", config)
        wait_until(lambda: deployment.host.send_request("/find/").status_code == 200)
        assert deployment.host.send_request("/search/").status_code == 404
        deployment.store.put("config", "main", CONFIG)
        time.sleep(1.0)
        assert deployment.host.send_request("/find/").status_code == 200


class TestStop:
    """A planned stop under load, while callers keep opening new connections."""

    CALLERS = 12

    def test_no_request_is_cut_off(self, deployment: Deployment) -> None:
        host = deployment.host
        outcomes: list[str] = []
        callers = [
            threading.Thread(target=self._call_until_refused, args=(host, outcomes))
            for _ in range(self.CALLERS)
        ]
        for caller in callers:
            caller.start()
        wait_until(lambda: len(outcomes) > 50)
        host.child.send_signal(signal.SIGTERM)
        for caller in callers:
            caller.join(HANG_TIMEOUT_S)
        assert set(outcomes) <= {"200", "503"}
        assert outcomes.count("200") > 50

    def _call_until_refused(self, host: PlatformHost, outcomes: list[str]) -> None:
        """Send requests, each on a new connection, until connections are refused."""
        request = (
            b"GET /search/1 HTTP/1.1\r\nHost: films.example\r\n"
            b"X-Request-Id: %d\r\nX-Deadline-Ms: 5000\r\n\r\n"
        )
        number = 0
        while True:
            try:
                sock = socket.create_connection(
                    ("127.0.0.1", host.front), HANG_TIMEOUT_S
                )
            except OSError:
                return
            number += 1
            with sock:
                sock.sendall(request % number)
                try:
                    head = sock.recv(100)
                except OSError:
                    head = b""
            outcomes.append(head[9:12].decode() if head else "cut")


class TestExplain:
    """The three kinds of failed requests in docs/OPERATIONS.md, explained from logs."""

    def explain(self, deployment: Deployment, request_id: str) -> str:
        """Return the cause that is found in the logs of the host."""
        rows = deployment.host.read_log().splitlines()
        return explain_request(request_id, [("front-1", rows)]).cause

    def test_refusal_by_admission(self, deployment: Deployment) -> None:
        host = deployment.host
        deployment.set_behavior("slow")
        for n in range(3):
            host.send_request("/search/", X_Request_Id=f"w{n}")
        replies: dict[str, int] = {}

        def call(name: str) -> None:
            replies[name] = host.send_request("/search/", X_Request_Id=name).status_code

        callers = [threading.Thread(target=call, args=(f"c{n}",)) for n in range(40)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join(HANG_TIMEOUT_S)
        refused = [name for name, status in replies.items() if status == 503]
        assert refused
        cause = self.explain(deployment, refused[0])
        assert cause.startswith("refused with 503, verdict not-run: Overloaded")
        assert "sent to no backend server" in cause

    def test_unsafe_request_that_ended_with_504(self, deployment: Deployment) -> None:
        deployment.set_behavior("hold")
        reply = deployment.host.send_request(
            "/pay/1", method="POST", X_Deadline_Ms="200", X_Request_Id="pay-1"
        )
        assert reply.status_code == 504
        cause = self.explain(deployment, "pay-1")
        assert "504, verdict may-have-run: Deadline passed" in cause
        assert "it had been sent to i-" in cause

    def test_late_answer_of_a_slow_server(self, deployment: Deployment) -> None:
        deployment.set_behavior("slow")
        for backend in deployment.backends.values():
            backend.load = b"1,0,4,700"
        reply = deployment.host.send_request(
            "/pay/1", method="POST", X_Request_Id="pay-2"
        )
        assert reply.status_code == 200
        cause = self.explain(deployment, "pay-2")
        assert cause.startswith("answered by i-")
        assert "7.0 times slower than usual" in cause


class TestProcess:
    """Signals, address look-ups, metrics and settings."""

    def test_addresses(self, deployment: Deployment) -> None:
        host = deployment.host
        url = f"http://127.0.0.1:{host.directory}/api/resolution"
        query = {"name": "films.example", "region": "r1", "zone": "z1"}
        answer = httpx.get(url, params=query, trust_env=False).json()
        assert answer == {"addresses": [f"127.0.0.1:{host.front}"], "ttlS": 5.0}

    def test_metrics_of_routes_and_budgets(self, deployment: Deployment) -> None:
        deployment.host.send_request("/search/1")
        url = f"http://127.0.0.1:{deployment.host.ready}/metrics"
        page = httpx.get(url, trust_env=False).text
        route = 'siskinpier_route_seconds_count{route="films.example/search"'
        assert route in page
        assert 'siskinpier_retry_budget{service="films"}' in page
        earned = 'kind="retry",outcome="earned",service="films"'
        assert f"siskinpier_repeats_total{{{earned}}}" in page
        assert "siskinpier_platform_word_age_seconds" in page

    def test_dropped_log_lines_are_counted(self) -> None:
        metrics = HostMetrics()
        state = make_state(
            identity=HostIdentity(
                name="h",
                incarnation=1,
                failure_domain="d",
                region="r",
                callers="c",
                peers="p",
            ),
            settings=CoreSettings(),
            parse_intents=lambda _: None,
            seed=1,
        )
        metrics.register_state(state, lambda: 0.0, {}, {"answer": 7})
        line = b'siskinpier_log_lines_left_out_total{event="answer"} 7.0'
        assert line in metrics.render()

    def test_metrics(self, deployment: Deployment) -> None:
        deployment.host.send_request("/search/")
        url = f"http://127.0.0.1:{deployment.host.ready}/metrics"
        text = httpx.get(url, trust_env=False).text
        assert 'siskinpier_decisions_total{decision="answer"} 1.0' in text
        assert "siskinpier_platform_calls_total" in text

    def test_sighup_reloads_settings(self, deployment: Deployment) -> None:
        host = deployment.host
        host.path.write_text(
            "\n".join(host.settings).replace("ttl_max_s=5", "ttl_max_s=4")
        )
        host.child.send_signal(signal.SIGHUP)
        wait_until(lambda: "event=reload changed=address_ttl_s" in host.read_log())
        assert host.send_request("/search/").status_code == 200

    def test_sigterm_finishes_running_calls(self, deployment: Deployment) -> None:
        host = deployment.host
        deployment.set_behavior("slow")
        replies: list[httpx.Response] = []
        caller = threading.Thread(
            target=lambda: replies.append(host.send_request("/pay/1", method="POST"))
        )
        caller.start()
        wait_until(lambda: deployment.count_runs() == 1)
        host.child.send_signal(signal.SIGTERM)
        wait_until(lambda: not host.is_ready())
        caller.join(HANG_TIMEOUT_S)
        assert [reply.status_code for reply in replies] == [200]
        assert host.child.wait(HANG_TIMEOUT_S) == 0

    def test_end_says_why(self, deployment: Deployment) -> None:
        host = deployment.host
        host.child.send_signal(signal.SIGTERM)
        assert host.child.wait(HANG_TIMEOUT_S) == 0
        (end,) = list_log_fields(host.read_log(), "end")
        assert (end["reason"], end["where"], end["code"]) == ("asked", "", "0")

    @pytest.mark.parametrize(
        ("line", "field"),
        [
            ("listenAddresses.front=nowhere", "listenAddresses.front"),
            ("platform.address=nowhere", "platform.address"),
            ("nodeName=", "nodeName"),
        ],
    )
    def test_broken_settings(self, tmp_path: Path, line: str, field: str) -> None:
        host = PlatformHost(folder=tmp_path, store="127.0.0.1:1")
        host.stop()
        key = line.partition("=")[0]
        rows = [row for row in host.settings if not row.startswith(key + "=")]
        host.path.write_text("\n".join([*rows, line]))
        done = subprocess.run(
            [sys.executable, "-m", "siskinpier.platform"],
            env={
                **os.environ,
                "PYTHONPATH": str(ROOT / "src"),
                "SISKINPIER_BOOT": str(host.path),
            },
            capture_output=True,
            timeout=HANG_TIMEOUT_S,
            check=False,
        )
        assert done.returncode == 2
        assert field in done.stderr.decode()
