"""Mutation tests: breaks one rule of the program at a time in a copy; a test must fail.

Usage: ``python -m bench.mutants [--only NAME]``.
"""

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOAK_SECONDS = "32"
SOAK_INSTANCES = "4"
IGNORED_FILES = shutil.ignore_patterns(".git", ".venv", "__pycache__", "*.egg-info", ".ruff_cache")


class Mutant(msgspec.Struct, frozen=True):
    """A change of the program that breaks a rule.

    Attributes:
        name: Description of the broken behaviour.
        file: Path of the file, relative to the package.
        old: Text to replace; it must occur in the file.
        new: Replacement.
        feature: Feature that must fail.
        seed: Seed of the soak that must fail instead of a feature; 0 for none.
        rule: Rule whose violation the soak must report.
        also: Second change without which no test can fail; its name and tests are not used.
    """

    name: str
    file: str
    old: str
    new: str
    feature: str = ""
    seed: int = 0
    rule: str = ""
    also: "Mutant | None" = None

    def describe(self) -> str:
        """Returns the broken behaviour and the test that must fail."""
        return f"{self.name} ({self.feature or f'soak, seed {self.seed}: {self.rule}'})"


MUTANTS = (
    Mutant(
        "silent streams are not closed",
        "node/outbound_stream.py",
        "if now - self._last_received_at > silence:",
        "if False:",
        "failures",
    ),
    Mutant(
        "coverage is always reported as complete",
        "queries/coverage.py",
        "complete=not gaps and not overlaps",
        "complete=True",
        "failures",
    ),
    Mutant(
        "results of all snapshots are merged",
        "queries/query.py",
        "self._results_by_snapshot.get(self.snapshot, ())",
        "tuple(r for found in self._results_by_snapshot.values() for r in found)",
        "snapshots",
    ),
    Mutant(
        "outcomes of tickets are not stored",
        "queries/tickets.py",
        "        if state.answer is not None:",
        "        if False:",
        "at_most_once",
    ),
    Mutant(
        "a lost call is reported as not run",
        "node/search.py",
        "return events.CallFailed(call_id, reason, True)",
        "return events.CallFailed(call_id, reason, False)",
        "at_most_once",
    ),
    Mutant(
        "tickets of an earlier incarnation are accepted",
        "queries/tickets.py",
        "if ticket.incarnation != self._incarnation:",
        "if False:",
        "at_most_once",
    ),
    Mutant(
        "older table values are accepted",
        "tables/precedence.py",
        "return Order.NEWER if _number_key(new) > _number_key(old) else Order.OLDER",
        "return Order.NEWER",
        "tables",
    ),
    Mutant(
        "peers with a different digest receive no bucket digests",
        "node/replication.py",
        "if digest != self._digest and self._schedule.try_compare(sender):",
        "if False:",
        "reconciliation",
    ),
    Mutant(
        "servers that refused calls as draining are called",
        "shards/server.py",
        "        self._draining_until = now + DRAINING_UNAVAILABLE_SECONDS",
        "        return",
        "draining",
    ),
    Mutant(
        "streams to instances other than neighbours are not opened",
        "node/peers.py",
        "return member is not None and self._open(member, is_persistent=False).send(message)",
        "return False",
        "neighbours",
    ),
    Mutant(
        "shutdown does not wait for active requests",
        "node/draining.py",
        "while (count := count_work()) and self.seconds_to_end() > self._margin_seconds:",
        "while count := 0:",
        "draining",
    ),
    Mutant(
        "the end of a stop answers nothing",
        "node/process.py",
        "local_node.answer_all()",
        "pass",
        "planned_stop",
    ),
    Mutant(
        "a leaving instance accepts requests that may not run twice and outlast it",
        "node/draining.py",
        "if remaining_ms is None or route.repeatable:",
        "if True:",
        "planned_stop",
    ),
    Mutant(
        "answers are cut when connections close",
        "node/http_servers.py",
        "loop.time() < ends_at",
        "False",
        "planned_stop",
    ),
    Mutant(
        "spoiled header fields are accepted",
        "node/http_grammar.py",
        r'_TEXT = r"[\t\x20-\x7e\x80-\xff]*"',
        r'_TEXT = r"[^\r\n]*"',
        "platform",
    ),
    Mutant(
        "lines of heads may end with LF alone",
        "node/http_grammar.py",
        r'_FIELD_LINE = rf"{_TOKEN}:{_TEXT}\r\n"',
        r'_FIELD_LINE = rf"{_TOKEN}:{_TEXT}\r?\n"',
        "broken_answers",
    ),
    Mutant(
        "other versions than HTTP/1 are accepted",
        "node/http_grammar.py",
        r'rf"HTTP/1\.([0-9])',
        r'rf"HTTP/[0-9]\.([0-9])',
        "broken_answers",
    ),
    Mutant(
        "any status is accepted",
        "node/response_reader.py",
        "if not _is_expected(self.status):",
        "if False:",
        "broken_answers",
    ),
    Mutant(
        "a length may stand beside chunks, and a coding twice",
        "node/response_reader.py",
        "return None if is_chunked and has_chunks and not lengths else defects.Defect.CODING",
        "return None",
        "broken_answers",
    ),
    Mutant(
        "a length may be any text",
        "node/response_reader.py",
        "            return defects.Defect.LENGTH\n",
        "            self._lengths.clear()\n",
        "broken_answers",
    ),
    Mutant(
        "bytes after a body are ignored",
        "node/response_body.py",
        "return defects.Defect.AFTER_BODY if self._missing_bytes < 0 else None",
        "return None",
        "broken_answers",
    ),
    Mutant(
        "bytes after chunks are ignored",
        "node/response_body.py",
        "                return defects.Defect.AFTER_BODY",
        "                return None",
        "broken_answers",
    ),
    Mutant(
        "bytes that libcurl has not read are ignored",
        "node/curl_transfer.py",
        "self.reader.is_body_complete and self._has_unread()",
        "False",
        "response_heads",
    ),
    Mutant(
        "chunks may end with LF alone",
        "node/response_body.py",
        "return None if line == http_grammar.LINE_END else defects.Defect.CHUNK",
        "return None",
        "broken_answers",
    ),
    Mutant(
        "any line is a trailer field",
        "node/response_body.py",
        "return None if http_grammar.FIELD_LINE.fullmatch(line) else defects.Defect.FIELD",
        "return None",
        "broken_answers",
    ),
    Mutant(
        "heads that libcurl cannot read have no defect",
        "node/curl_transfer.py",
        "if self.defect is None and code in _UNREADABLE_CODES:",
        "if False:",
        "response_heads",
    ),
    Mutant(
        "fields of a response that is not accepted are believed",
        "node/curl_transfer.py",
        "headers=self.reader.headers if is_sound else (),",
        "headers=self.reader.headers,",
        "response_heads",
    ),
    Mutant(
        "the connection of a response that is not accepted is kept",
        "node/curl.py",
        "        if reply.defect is not None and not code:",
        "        if False:",
        "response_heads",
    ),
    Mutant(
        "kept connections that hold bytes are used",
        "node/single_sending.py",
        "return state not in (socket_state.SocketState.ENDED, socket_state.SocketState.READABLE)",
        "return state is not socket_state.SocketState.ENDED",
        "response_heads",
    ),
    Mutant(
        "malformed replies of native servers count as lost connections",
        "node/search.py",
        "if reply.defect is not None:",
        "if False:",
        "broken_replies",
    ),
    Mutant(
        "answers to HEAD have a body",
        "platform/callers.py",
        'b"" if is_head else body',
        "body",
        "platform",
    ),
    Mutant(
        "responses in progress have no common limit",
        "node/held_transfers.py",
        "if largest is None:",
        "if True:",
        "endless_replies",
    ),
    Mutant(
        "bodies that exceed the limit are stored",
        "node/message_guard.py",
        "if self._body_bytes > self._options.body_bytes_max():",
        "if False:",
        "untrusted_callers",
    ),
    Mutant(
        "callers together have no limit of memory",
        "node/caller_connections.py",
        "if largest is not None:",
        "if False:",
        "untrusted_callers",
    ),
    Mutant(
        "callers together have no limit of connections",
        "node/caller_connections.py",
        "if excess is not None:",
        "if False:",
        "untrusted_callers",
    ),
    Mutant(
        "slow heads are not ended",
        "node/caller_connections.py",
        "if now - caller.since > (head_seconds if is_head else idle_seconds):",
        "if False:",
        "untrusted_callers",
    ),
    Mutant(
        "an unreadable value takes the others of its message with it",
        "node/replication.py",
        "except errors.ProtocolError as error:",
        "except ZeroDivisionError as error:",
        "long_values",
    ),
    Mutant(
        "values that define nothing keep their text",
        "tables/store.py",
        "if parsed.content is None and value.text:",
        "if False:",
        "long_values",
    ),
    Mutant(
        "replies to another request are forwarded",
        "node/response_reader.py",
        "return defects.Defect.FOREIGN\n",
        "return None\n",
        "platform",
    ),
    Mutant(
        "closed caller connections are not detected",
        "platform/callers.py",
        "self._connection.set_close_callback(self.on_connection_close)",
        "pass",
        "platform",
    ),
    Mutant(
        "failures are ignored when choosing servers",
        "policy/balance.py",
        "failure_cost = 12.0",
        "failure_cost = 0.0",
        "server_choice",
    ),
    Mutant(
        "servers that left long ago are a last resort for a new shard",
        "shards/shard_table.py",
        "state.update(servers, self._limit_share, -math.inf, ",
        "state.update(servers, self._limit_share, math.inf, ",
        "server_choice",
    ),
    Mutant(
        "servers that return cold receive their whole load at once",
        "policy/pace.py",
        "INITIAL_SHARE = 0.2",
        "INITIAL_SHARE = 1.0",
        "slow_start",
    ),
    Mutant(
        "larger quotas for cold servers are used at once",
        "overload/cold_quota.py",
        "RAISE_DELAY_SECONDS = 2.5",
        "RAISE_DELAY_SECONDS = 0.0",
        "cold_servers",
    ),
    Mutant(
        "instances that cannot be reached do not keep their quotas for cold servers",
        "shards/cold_servers.py",
        "known = view.known_instances or view.instances",
        "known = view.instances",
        "cold_servers",
    ),
    Mutant(
        "an instance mistakes its own read report for a peer's",
        "fleet/watcher_selection.py",
        "if report.reader == self._instance:",
        "if False:",
        "watcher_selection",
    ),
    Mutant(
        "a read is more recent wherever its report is passed on",
        "fleet/watcher_selection.py",
        "known.read_at = min(known.read_at, read_at)",
        "known.read_at = max(known.read_at, read_at)",
        "watcher_selection",
    ),
    Mutant(
        "silent owners are not replaced",
        "queries/entry.py",
        "            self._send(state, silent_services, commands)",
        "            pass",
        "silent_owners",
    ),
    Mutant(
        "owners that confirmed the work are not checked again",
        "queries/failover.py",
        "        owners = state.pop_responsive_owners(self._instance)",
        "        owners = ()",
        "silent_owners",
    ),
    Mutant(
        "equal records are merged into one",
        "policy/merge.py",
        "sorted(results, reverse=True)",
        "sorted(set(results), reverse=True)",
        "merge",
    ),
    Mutant(
        "non-repeatable work that may have run is retried",
        "shards/owner.py",
        "is_safe = sub.query.repeatable or not sub.may_have_run",
        "is_safe = True",
        seed=6,
        rule="TWICE",
    ),
    Mutant(
        "work that may have run is reported as not run",
        "queries/answer_builder.py",
        "    if not _may_have_run(state):",
        "    if True:",
        seed=533,
        rule="REFUSED",
    ),
    Mutant(
        "missing parts are not counted",
        "queries/answer_builder.py",
        "missing=len(state.services) - len(parts),",
        "missing=0,",
        seed=295,
        rule="MIXED",
    ),
    Mutant(
        "changes reported by a watch are discarded",
        "platform/reader.py",
        "return key_ranges.Page(values, changes.current_rev, era=era)",
        "return key_ranges.Page((), changes.current_rev, era=era)",
        seed=6,
        rule="CONFIG",
    ),
    Mutant(
        "revisions are not ordered by number",
        "tables/precedence.py",
        "    return (revision.number, revision.digest)",
        "    return (-revision.number, revision.digest)",
        seed=533,
        rule="CONFIG",
    ),
    Mutant(
        "servers that the table marks as leaving are called",
        "shards/server.py",
        "return self._leaving_since is None and now >= self.available_at()",
        "return now >= self.available_at()",
        seed=533,
        rule="DRAIN",
    ),
    Mutant(
        "extra calls have no budget and hedges no delay",
        "policy/hedge.py",
        "return self._sorted[int(len(self._sorted) * quantile)]",
        "return 0.0",
        seed=6,
        rule="BUDGET",
        also=Mutant("", "overload/budget.py", "return sample < available", "return True"),
    ),
    Mutant(
        "attempts are not limited",
        "shards/hedging.py",
        "return sub.calls - sub.unused_calls < min(sub.query.calls_per_shard_max, HEDGES_MAX + 1)",
        "return True",
        seed=6,
        rule="BUDGET",
        also=Mutant(
            "",
            "queries/allowances.py",
            "return shard.calls_allowed() < state.route.attempts",
            "return True",
        ),
    ),
    Mutant(
        "calls allowed to other owners are not counted",
        "queries/allowances.py",
        "return shard.calls_allowed() < state.route.attempts",
        "return True",
        "call_limits",
    ),
    Mutant(
        "an owner makes second calls without permission",
        "shards/owner.py",
        "if candidates and sub.calls < sub.allowed:",
        "if candidates:",
        "silent_owners",
    ),
    Mutant(
        "a repeated call request is granted twice",
        "queries/allowances.py",
        "if request.allowed >= grant.allowed and request.attempt in shard.pending_by_attempt:",
        "if request.attempt in shard.pending_by_attempt:",
        "silent_owners",
    ),
    Mutant(
        "extra calls have no budget",
        "overload/budget.py",
        "        if available <= 0.0:\n            return False\n",
        "        if available <= 0.0:\n            return True\n",
        "server_choice",
    ),
    Mutant(
        "pools without a changed server are rebuilt",
        "platform/store_format.py",
        "    if not new_servers_by_service:\n        return pool\n",
        "",
        "table_updates",
    ),
    Mutant(
        "calls continue after the client has disconnected",
        "platform/callers.py",
        "self._connection.set_close_callback(self.on_connection_close)",
        "pass",
        seed=6,
        rule="GONE",
    ),
    Mutant(
        "a graceful stop interrupts requests",
        "node/draining.py",
        "while (count := count_work()) and self.seconds_to_end() > self._margin_seconds:",
        "while count := 0:",
        seed=6,
        rule="LOST",
    ),
    Mutant(
        "failed reads of the configuration service are not retried",
        "node/table_reader.py",
        "return delay * random.uniform(0.75, 1.25)",
        "return 3600.0",
        seed=6,
        rule="RECOVER",
    ),
    Mutant(
        "a server that says that it is leaving is called while the table lists it",
        "shards/server_notices.py",
        "now if report.is_leaving and before.leaving_since is None else before.leaving_since",
        "before.leaving_since",
        "server_reports",
    ),
    Mutant(
        "a requested wait is ignored",
        "shards/server_notices.py",
        "max(before.wait_until, now + wait) if wait > 0.0 else before.wait_until",
        "before.wait_until",
        "server_reports",
    ),
    Mutant(
        "a response whose head is cut off counts as complete",
        "node/curl_transfer.py",
        "is_sound = self.reader.is_head_complete and self.defect is None",
        "is_sound = self.defect is None",
        "response_heads",
        also=Mutant(
            "the status is that of libcurl",
            "node/curl_transfer.py",
            "status=self.reader.status if is_complete else 0,",
            "status=self.handle.getinfo(pycurl.RESPONSE_CODE) if is_complete else 0,",
        ),
    ),
    Mutant(
        "a key that was removed before a restart is taken over from a peer",
        "tables/store.py",
        "if current is None and self._is_removed_by_listing(value):",
        "if False:",
        "removed_keys",
    ),
    Mutant(
        "an unexpected error ends the watch of the configuration service",
        "node/service_watcher.py",
        "            except Exception:",
        "            except ZeroDivisionError if False else table_reader.ConfigServiceError:",
        "malformed_input",
    ),
    Mutant(
        "single sending: a second request of a call is not refused",
        "node/single_sending.py",
        "        if self.is_sent:\n            return pycurl.PREREQFUNC_ABORT",
        "        if False:\n            return pycurl.PREREQFUNC_ABORT",
        "single_sending",
    ),
    Mutant(
        "single sending: a lost response uses up a second connection",
        "node/curl.py",
        "if event_mask == pycurl.CSELECT_IN and socket_state.has_ended(descriptor):",
        "if False:",
        "single_sending",
    ),
    Mutant(
        "single sending: asking for the state of a connection takes its error",
        "node/socket_state.py",
        "    return bool(poll.poll(0))\n",
        "    view = socket.fromfd(descriptor, _FAMILY, _KIND)\n"
        "    view.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)\n"
        "    return bool(poll.poll(0))\n",
        "broken_off_responses",
    ),
    Mutant(
        "single sending: requests are sent on connections that have ended",
        "node/single_sending.py",
        "            if not self._is_usable(local_port):",
        "            if False:",
        "single_sending",
    ),
    Mutant(
        "single sending: request targets are not checked",
        "node/request_target.py",
        "if not _TARGET_PATTERN.fullmatch(encoded):",
        "if False:",
        "single_sending",
    ),
    Mutant(
        "servers of an evacuated zone are called",
        "shards/server.py",
        "        if self._is_evacuated:\n            return math.inf",
        "        if False:\n            return math.inf",
        "evacuation",
    ),
    Mutant(
        "a query whose shards are evacuated is sent to owners",
        "queries/plan.py",
        "    return served_count >= needed_count",
        "    return served_count > 0",
        "evacuation",
    ),
    Mutant(
        "a list does not end the evacuations that it lacks",
        "platform/wire_names.py",
        "    return key.startswith((SERVER_KEY_PREFIX, EVACUATION_KEY_PREFIX))",
        "    return key.startswith(SERVER_KEY_PREFIX) or key.endswith(EVACUATION_KEY_PREFIX)",
        "evacuation",
    ),
    Mutant(
        "operators' keys have no range of their own",
        "platform/wire_names.py",
        'OPERATOR_KEY_PREFIX = "op/"',
        'OPERATOR_KEY_PREFIX = "none/"',
        "operator_keys",
    ),
    Mutant(
        "all announced values are requested at once",
        "node/value_requests.py",
        "BATCH_KEYS = 64",
        "BATCH_KEYS = 100_000",
        "operator_keys",
    ),
    Mutant(
        "small instances watch as well as large ones",
        "fleet/membership.py",
        "    return (-member.capacity, -hashing",
        "    return (0.0, -hashing",
        "watcher_selection",
    ),
    Mutant(
        "late sub-requests are served by their goal like others",
        "policy/goal_order.py",
        "while heap and heap[0][0] < now:",
        "while False:",
        "scheduling_order",
    ),
    Mutant(
        "calls are started whose results cannot arrive before the deadline",
        "shards/call_times.py",
        "if now + times.shortest_seconds(now) * SHORTEST_SHARE < sub.deadline:",
        "if True:",
        "scheduling_order",
    ),
    Mutant(
        "lower ranks use all slots beside urgent work",
        "shards/slot_use.py",
        "LOWER_RANK_SLOT_SHARE = 0.5",
        "LOWER_RANK_SLOT_SHARE = 1.0",
        "rank_slots",
    ),
    Mutant(
        "late answers do not wait for missing parts",
        "queries/answer_timing.py",
        "return min(state.deadline, state.goal_at + _late_wait_seconds(state, worth))",
        "return now",
        "answer_timing",
    ),
    Mutant(
        "the lag of timers does not count for the time of an answer",
        "queries/answer_timing.py",
        "return self._delivery_seconds + lag",
        "return self._delivery_seconds",
        "answer_timing",
    ),
    Mutant(
        "callers have no share of the admission window",
        "policy/fair_admission.py",
        "is_over_share = not is_returning and caller.active >= self._share(rank)",
        "is_over_share = False",
        "fair_admission",
    ),
    Mutant(
        "refused callers are told to return at once",
        "policy/fair_admission.py",
        "wait = min(RETURN_MAX_SECONDS, max(RETURN_MIN_SECONDS, ahead / max(rate, 1e-6)))",
        "wait = RETURN_MIN_SECONDS",
        "fair_admission",
    ),
    Mutant(
        "an unreachable minimum share of the shards is not reported",
        "tables/config_review.py",
        "if (shards - 1) / shards < route.minimum_coverage < 1:",
        "if False:",
        "check_config",
    ),
    Mutant(
        "a version that does not rise is not reported",
        "tables/config_review.py",
        "new_version == current_version and not has_differences",
        "new_version == current_version",
        "check_config",
    ),
    Mutant(
        "older values of the configuration service have no line",
        "node/value_log.py",
        'return source == "service" and not self._changed_keys.contains(key)',
        "return False",
        "table_log",
    ),
    Mutant(
        "lines about values that are not in force are not limited",
        "node/value_log.py",
        "self._latest_lines.count() >= LINES_PER_SECOND_MAX",
        "False",
        "table_log",
    ),
    Mutant(
        "a value that a list lacks counts as accepted",
        "tables/store.py",
        "accepted = Acceptance.REMOVED if value.text else Acceptance.ACCEPTED",
        "accepted = Acceptance.ACCEPTED",
        "table_log",
    ),
    Mutant(
        "a newer era that a peer states has no line",
        "node/replication.py",
        'era_log.log_newer(era_before, self.store, "peer")',
        "pass",
        "table_log",
    ),
    Mutant(
        "an old answer of the configuration service has no line",
        "node/service_belief.py",
        "return Contact.OLD if is_old else Contact.RECENT",
        "return Contact.RECENT",
        "service_belief",
    ),
    Mutant(
        "a reply of an earlier era counts as no usable one",
        "node/table_reader.py",
        "failure = ReadFailure.EARLIER_ERA",
        "failure = ReadFailure.NO_USABLE_REPLY",
        "service_belief",
    ),
    Mutant(
        "values of two eras are compared by number alone",
        "tables/precedence.py",
        "    if new.era == old.era:",
        "    if True:",
        "value_order",
    ),
    Mutant(
        "versions of the content are ignored between eras",
        "tables/precedence.py",
        "    if new.version and old.version and new.version != old.version:",
        "    if False:",
        "value_order",
    ),
    Mutant(
        "the order of a server's own items is ignored",
        "tables/precedence.py",
        "    elif _is_told(offered, in_force):",
        "    elif False:",
        "value_order",
    ),
    Mutant(
        "an era is settled at once",
        "tables/eras.py",
        "SETTLE_SECONDS = 2.2",
        "SETTLE_SECONDS = 0.0",
        "value_order",
    ),
    Mutant(
        "an era that is settled for another instance is not",
        "tables/eras.py",
        "if era != UNSTATED and era >= self.newest:",
        "if False:",
        "value_order",
    ),
    Mutant(
        "no list follows once an era is settled",
        "node/range_reader.py",
        "if not table_store.has_earlier_eras():",
        "if True:",
        "value_order",
    ),
    Mutant(
        "what the list of an unsettled era lacks is removed at once",
        "tables/store.py",
        "if is_settled or self.revision_by_key[key].era >= self.eras.resolve(era)",
        "if True",
        "value_order",
    ),
    Mutant(
        "a listing of an unsettled era removes values of the earlier one",
        "tables/store.py",
        "return value.era < self._listing.era and self.eras.is_settled()",
        "return value.era < self._listing.era",
        "value_order",
    ),
    Mutant(
        "a value that is the same in a later era stays one of the earlier",
        "tables/store.py",
        "if revision.era > current.era:",
        "if False:",
        "value_order",
    ),
    Mutant(
        "replies of an earlier era are accepted",
        "node/table_reader.py",
        "if table_store.eras.is_outdated(era):",
        "if False:",
        "value_order",
    ),
    Mutant(
        "a watch goes on over a change of the era",
        "node/range_reader.py",
        "if table_reader.check_era(page.era, table_store) != state.era:",
        "if table_reader.check_era(page.era, table_store) < 0:",
        "value_order",
    ),
    Mutant(
        "pages of two eras make a list",
        "node/range_reader.py",
        "if era != table_store.eras.resolve(first_page.era):",
        "if False:",
        "value_order",
    ),
    Mutant(
        "announcements of two eras are compared by number",
        "tables/announcements.py",
        "return (revision.era, revision.number)",
        "return (0, revision.number)",
        "value_order",
    ),
    Mutant(
        "requests for values of two eras are compared by number",
        "node/value_requests.py",
        "return (revision.era, revision.number) > (request.era, request.number)",
        "return revision.number > request.number",
        "value_order",
    ),
    Mutant(
        "a replaced table comes back in a later era",
        "tables/native.py",
        "return not key.startswith(EVACUATION_KEY_PREFIX)",
        "return False",
        "value_order",
    ),
    Mutant(
        "a native service is not read again once an era is settled",
        "node/config_service.py",
        "if table_store.eras.is_settled() or not table_store.has_earlier_eras():",
        "if True:",
        "value_order",
    ),
    Mutant(
        "values without an era count as of an earlier one once an era is settled",
        "tables/precedence.py",
        "    elif is_settled and not _has_unstated_era(new, old):",
        "    elif is_settled:",
        "value_order",
    ),
    Mutant(
        "two values with one number are not ordered by their eras",
        "tables/precedence.py",
        "        is_newer = new.era > old.era\n    else:",
        "        is_newer = new.digest > old.digest\n    else:",
        "value_order",
    ),
    Mutant(
        "removals do not tell the place of the removed value",
        "tables/store.py",
        "progress = None if text else self._progress_by_key.get(key)",
        "progress = None",
        "value_order",
    ),
    Mutant(
        "removals of an earlier era need no list once it is settled",
        "tables/store.py",
        "return any(revision.era < newest for revision in self.revision_by_key.values())",
        "return any(self.revision_by_key[key].era < newest for key in self.nonempty_keys())",
        "value_order",
    ),
    Mutant(
        "a list that fails is not made again",
        "node/range_reader.py",
        "        state.revision = None\n        present_keys",
        "        present_keys",
        "value_order",
    ),
    Mutant(
        "the number of a server's item has no bound",
        "platform/store_format.py",
        "    if not 0 <= server_value.seq <= store_records.NUMBER_MAX:",
        "    if False:",
        "value_order",
    ),
    Mutant(
        "late reports of the process before a restart count",
        "fleet/watcher_selection.py",
        "return known.read_at - read_at <= RESTART_SECONDS",
        "return True",
        "watcher_selection",
    ),
    Mutant(
        "SIGHUP ends a process that starts",
        "serve.py",
        "    signal.signal(signal.SIGHUP, signal.SIG_IGN)",
        "    pass",
        "draining",
    ),
)


def is_caught(mutant: Mutant) -> bool:
    """Returns whether the feature fails, or the soak reports the rule, with the mutant."""
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder:
        copy_folder = pathlib.Path(folder) / "copy"
        shutil.copytree(ROOT, copy_folder, ignore=IGNORED_FILES)
        _apply(copy_folder, mutant)
        if mutant.also is not None:
            _apply(copy_folder, mutant.also)
        if mutant.seed:
            return f"\n{mutant.rule}: " in _run_soak(mutant.seed, copy_folder)
        command = [sys.executable, "-m", "behave", "--stop", "--format", "progress"]
        # A test that is known to fail without the mutant shows nothing.
        command += ["--tags=not @known_red", f"features/{mutant.feature}.feature"]
        return (
            subprocess.run(command, cwd=copy_folder, capture_output=True, check=False).returncode
            != 0
        )


def _apply(folder: pathlib.Path, mutant: Mutant) -> None:
    """Applies a mutant to a copy of the program."""
    path = folder / "monsoonhoist" / mutant.file
    text = path.read_text(encoding="utf-8")
    if mutant.old not in text:
        raise SystemExit(f"{mutant.name}: the text to replace is not in {mutant.file}")
    path.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")


def _run_soak(seed: int, folder: pathlib.Path) -> str:
    """Runs a seed of the soak in a copy and returns its standard output."""
    command = [sys.executable, "-m", "soak", "--seed", str(seed)]
    command += ["--seconds", SOAK_SECONDS, "--instances", SOAK_INSTANCES]
    completed = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    return completed.stdout


def main() -> None:
    """Prints whether each mutant is caught; exits with 1 if one is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="part of a mutant's name")
    options = parser.parse_args()
    missed = 0
    for mutant in MUTANTS:
        if options.only in mutant.name:
            caught = is_caught(mutant)
            missed += not caught
            print(f"{'caught' if caught else 'MISSED'}: {mutant.describe()}", flush=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
