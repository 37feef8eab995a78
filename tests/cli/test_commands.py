import io
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest

from citrondock_cli.exit_code import ExitCode
from citrondock_cli.main import COMMANDS, execute
from citrondock_core.account_keys import account_of_key, key_matches, parse_key_hash
from citrondock_core.audit_record import AuditKind, AuditRecord
from citrondock_core.audit_trail import AuditTrail
from citrondock_core.configuration_text import parse_configuration
from citrondock_standins.memory_object_store import MemoryObjectStore
from citrondock_standins.store_core import Outage, StoreCore, StoreFaults

EXAMPLE = "examples/plume-nordique.jsonc"
TEXT = Path(EXAMPLE).read_text()


class CommandLine:
    """Runs commands against one store and keeps their output."""

    def __init__(self):
        self.store = MemoryObjectStore(StoreCore(writes_per_s=1e6, reads_per_s=1e6))

    def __call__(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        code = execute(
            ["citrondock", "--author=asha", *arguments],
            environment={},
            out=out,
            err=err,
            make_store=lambda _options: self.store,
        )
        self.out, self.err = out.getvalue(), err.getvalue()
        return code


@pytest.fixture
def run(monkeypatch):
    monkeypatch.setattr("citrondock_cli.command.time.sleep", lambda _pause_s: None)
    return CommandLine()


@pytest.fixture
def edited(tmp_path):
    path = tmp_path / "edited.jsonc"
    path.write_text(TEXT.replace('"weight": 6', '"weight": 7', 1))
    return str(path)


@pytest.fixture
def router():
    """An operator port of a router, with fixed answers by path."""
    answers, posted = {}, []

    class Handler(BaseHTTPRequestHandler):
        def answer(self):
            body = json.dumps(answers.get(self.path, "unknown")).encode()
            self.send_response(200 if self.path in answers else 404)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        do_GET = answer

        def do_POST(self):
            length = int(self.headers["Content-Length"])
            posted.append(json.loads(self.rfile.read(length)))
            self.answer()

        def log_message(self, *_):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    url = f"--router=http://127.0.0.1:{server.server_port}"
    yield url, answers, posted
    server.shutdown()
    thread.join()
    server.server_close()


def status_answer(*members):
    fields = ("vm_name", "configuration_revision", "reachable")
    return {
        "configuration_revision": 1,
        "members": [dict(zip(fields, member, strict=True)) for member in members],
    }


class TestCheck:
    def test_valid_file(self, run):
        assert run("check", EXAMPLE) == ExitCode.DONE
        assert "16 accounts, 2 pools with 12 targets, 6 services" in run.out

    def test_errors_as_text_and_as_json(self, run, tmp_path):
        path = tmp_path / "bad.jsonc"
        path.write_text('{"acounts": {}, "pools": {"p": {"kind": "engin"}}}')

        assert run("check", str(path)) == ExitCode.FAULTS
        assert f"{path}:1:2: acounts: is not a known key; did you mean" in run.err
        assert run("check", str(path), "--json") == ExitCode.FAULTS
        assert [fault["column"] for fault in json.loads(run.out)] == [2, 32, 41]

    def test_missing_file(self, run):
        assert run("check", "/no/such") == ExitCode.FAULTS
        assert "/no/such:1:1: cannot be read" in run.err


class TestEdits:
    def test_plan_apply_show_history(self, run, edited):
        assert run("apply", EXAMPLE, "--reason=start") == ExitCode.DONE
        assert run("plan", edited) == ExitCode.DONE
        assert "~ accounts/tag-drafts: weight: 6.0 -> 7.0" in run.out
        assert "--base=1" in run.out
        assert run("apply", edited, "--base=1", "--reason=more") == ExitCode.DONE

        assert run("show") == ExitCode.DONE
        assert run.out == Path(edited).read_text()
        assert run("show", "--revision=1") == ExitCode.DONE
        assert run.out == TEXT
        assert run("history") == ExitCode.DONE
        assert run.out.splitlines()[2].split()[2:] == [
            "asha",
            "more",
            "accounts/tag-drafts",
        ]

    def test_audit_shows_edits_among_the_records_of_routers(self, run):
        trail = AuditTrail(
            run.store, vm_name="router-a1", incarnation=1, wall_clock=lambda: 5.0
        )
        record = AuditRecord(
            at_unix_s=5.0, kind=AuditKind.MEMBERSHIP, who="router-a1", what="b left"
        )
        trail.record(record)
        trail.write()
        run("apply", EXAMPLE, "--reason=start")

        assert run("audit") == ExitCode.DONE
        assert [line.split()[1] for line in run.out.splitlines()] == [
            "kind",
            "membership",
            "edit",
        ]
        for filtered in ("--kind=membership", "--who=router-a1"):
            assert run("audit", filtered) == ExitCode.DONE
            assert len(run.out.splitlines()) == 2
            assert "b left" in run.out
        assert run("audit", "--json", "--limit=1") == ExitCode.DONE
        assert [record["why"] for record in json.loads(run.out)] == ["start"]

    def test_apply_requires_the_base_after_the_first_edit(self, run, edited):
        run("apply", EXAMPLE)

        assert run("apply", edited) == ExitCode.FAULTS
        assert "--base=1" in run.err
        assert run("apply", EXAMPLE) == ExitCode.DONE
        assert "unchanged" in run.out

    def test_conflict_shows_the_other_edit(self, run, edited):
        run("apply", EXAMPLE)
        run("apply", edited, "--base=1", "--author=otieno", "--reason=urgent")

        assert run("apply", EXAMPLE, "--base=1") == ExitCode.CONFLICT
        assert "by otieno (urgent): accounts/tag-drafts" in run.err

    def test_store_outage(self, run):
        run.store.set_faults(StoreFaults(outage=Outage.REFUSE))

        assert run("show") == ExitCode.FAILED
        assert run.err

    def test_edit_of_unknown_outcome_is_repeated_by_its_id(self, run):
        run.store.set_faults(
            StoreFaults(lose_answers_count=99, lose_answers_prefix="configuration/head")
        )
        run.store.get = lambda key, **_: MemoryObjectStore().get(key)

        assert run("apply", EXAMPLE, "--edit_id=e1") == ExitCode.UNSETTLED
        del run.store.get
        run.store.set_faults(StoreFaults())
        assert run("apply", EXAMPLE, "--edit_id=e1", "--base=0") == ExitCode.DONE
        assert "accepted: revision 1 by asha" in run.out

    def test_drain_of_a_target_is_an_edit_that_keeps_comments(self, run):
        run("apply", EXAMPLE)

        assert run("drain", "engine-3", "--reason=fan") == ExitCode.DONE
        run("show")
        drained = parse_configuration(run.out, "f").pools["engines"].targets
        assert [t.name for t in drained if t.draining] == ["engine-3"]
        assert run.out.replace('"draining": true, ', "") == TEXT
        assert run("drain", "engine-3", "--undo") == ExitCode.DONE
        assert run("show") == ExitCode.DONE
        assert '"draining": false' in run.out

    @pytest.mark.parametrize(
        ("members", "code", "expected"),
        [
            ([("a", 1, True), ("b", 2, True)], ExitCode.DONE, "2 routers: a, b"),
            ([("a", 1, True), ("b", 0, True)], ExitCode.NOT_EVERYWHERE, "force: b"),
            ([("a", 1, True), ("b", 0, False)], ExitCode.NOT_EVERYWHERE, "reached: b"),
        ],
    )
    def test_wait_lists_the_routers(self, run, router, members, code, expected):
        url, answers, _ = router
        answers["/v1/status"] = status_answer(*members)

        assert run("apply", EXAMPLE, "--wait", "--wait_timeout_s=0.1", url) == code
        assert expected in run.out

    def test_wait_lists_a_url_that_does_not_answer(self, run, router):
        url, answers, _ = router
        answers["/v1/status"] = status_answer(("a", 1, True))
        urls = f"{url},http://127.0.0.1:1"

        code = run("apply", EXAMPLE, "--wait", "--wait_timeout_s=0.1", urls)

        assert code == ExitCode.NOT_EVERYWHERE
        assert "not reached: http://127.0.0.1:1" in run.out


class TestFleet:
    def test_status(self, run, router):
        url, answers, _ = router
        answers["/v1/status"] = status_answer(("a", 1, True), ("b", 0, False))

        assert run("status", url) == ExitCode.DONE
        assert run.out.splitlines()[-1].split() == ["b", "-", "0", "0", "no"]
        assert run("status", f"{url},http://127.0.0.1:1", "--json") == ExitCode.DONE
        fleet = json.loads(run.out)["fleet"]
        assert fleet["answers"] == [answers["/v1/status"]]
        assert fleet["silent_urls"] == ["http://127.0.0.1:1"]

    def test_explain(self, run, router):
        url, answers, _ = router
        answers["/v1/explain/r%2F1"] = {"subject": "r/1", "lines": ["waited 1 s"]}

        assert run("explain", "r/1", url) == ExitCode.DONE
        assert run.out == "waited 1 s\n"
        assert run("explain", "other", url) == ExitCode.NOT_FOUND

    def test_drain_of_a_vm_calls_only_that_router(self, run, router):
        url, answers, posted = router
        answers["/v1/drain"] = {}
        answers["/v1/status"] = {"vm_name": "router-a1"}

        assert run("drain", "router-b1", url) == ExitCode.NOT_FOUND
        assert posted == []
        assert run("drain", "router-a1", "--reason=old", url) == ExitCode.DONE
        assert posted == [{"vm_name": "router-a1", "author": "asha", "reason": "old"}]

    def test_no_router(self, run):
        assert run("status", "--router=http://127.0.0.1:1") == ExitCode.FAILED
        assert run("status") == ExitCode.FAILED
        assert "--router=URL" in run.err


class TestListings:
    def test_accounts_and_services(self, run):
        assert run("accounts") == ExitCode.NOT_FOUND
        run("apply", EXAMPLE)

        assert run("accounts") == ExitCode.DONE
        assert len(run.out.splitlines()) == 17
        assert run("services", "--json") == ExitCode.DONE
        assert len(json.loads(run.out)) == 6

    def test_new_key(self, run):
        assert run("accounts", "new-key", "kudos", "--json") == ExitCode.DONE
        made = json.loads(run.out)
        assert account_of_key(made["key"]) == "kudos"
        assert key_matches(made["key"], parse_key_hash(made["key_hash"]))


class TestUsage:
    @pytest.mark.parametrize(
        "arguments", [[], ["fly"], ["check"], ["show", "--no_flag"]]
    )
    def test_invalid_arguments(self, run, arguments):
        assert run(*arguments) == ExitCode.FAULTS

    def test_help_names_commands_flags_and_exit_codes(self, run):
        assert run("--help") == ExitCode.DONE
        assert all(f"  {name}" in run.out for name in COMMANDS)
        assert "--wait_timeout_s" in run.out
        assert "3 conflict" in run.out
