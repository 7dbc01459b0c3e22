"""Checks that the state machine of `test_endings` finds each of these faults.

Each test puts one fault into the router.
"""

import pytest
from hypothesis import settings as limits
from hypothesis.stateful import run_state_machine_as_test
from test_endings import Endings

from tansycrank import routing
from tansycrank.http_router import endpoint_directory
from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.node_connection import NodeConnection
from tansycrank.http_router.outgoing_call import OutgoingCall
from tansycrank.lifecycle import AnswerKind, Lifecycle

EXAMPLES = 400  # upper limit until the fault is found


def client_disconnects_are_ignored(patch):
    patch.setattr(Coordinator, "abandon", lambda self, query: None)


def drains_are_ignored(patch):
    patch.setitem(endpoint_directory.STATUSES, "terminating", routing.EndpointStatus.IN_SERVICE)


def a_lost_connection_is_reported_as_a_failed_connect(patch):
    finish = OutgoingCall.finish

    def finished(self, outcome, *more):
        if outcome is routing.Outcome.CONNECTION_LOST:
            outcome = routing.Outcome.CONNECT_FAILED
        finish(self, outcome, *more)

    patch.setattr(OutgoingCall, "finish", finished)


def ended_attempts_are_kept(patch):
    patch.setattr(Coordinator, "_forget", lambda self, shard_request: None)


def a_request_that_may_have_run_is_retried(patch):
    patch.setattr(Lifecycle, "_retry_denial", lambda self, attempt, now: None)
    patch.setattr(
        routing.Outcome,
        "never_executed",
        property(lambda self: self is not routing.Outcome.SUCCEEDED),
    )


def values_of_two_requests_are_swapped(patch):
    end = Coordinator._on_attempt_ended

    def swapped(self, query, shard_request, value, event):
        last = getattr(self, "last_value", "none")
        self.last_value = value or last
        end(self, query, shard_request, last if value else value, event)

    patch.setattr(Coordinator, "_on_attempt_ended", swapped)


def a_frame_in_a_full_socket_is_not_revoked(patch):
    patch.setattr(NodeConnection, "may_write", lambda self: True)
    patch.setattr(NodeConnection, "revoke", lambda self, call: None)


def a_keyed_retry_is_sent_after_its_deduplication_window(patch):
    patch.setattr(OutgoingCall, "_on_transmit_limit", lambda self: None)
    patch.setattr(NodeConnection, "may_write", lambda self: True)


def a_sent_frame_is_treated_as_unsent(patch):
    resume = NodeConnection.resumeProducing

    def resumed(self):
        calls = self.calls_in_transmission
        resume(self)
        self.calls_in_transmission = self.calls_in_transmission or calls

    patch.setattr(NodeConnection, "resumeProducing", resumed)


def a_request_that_may_have_run_is_rejected_as_not_executed(patch):
    answer = Lifecycle.answer

    def rejected(self, query, kind, now, missing=0):
        allowed = answer(self, query, kind, now, missing)
        return AnswerKind.REJECTED if allowed is AnswerKind.FAILED else allowed

    patch.setattr(Lifecycle, "answer", rejected)


def a_query_is_never_rejected_or_failed(patch):
    patch.setattr(Coordinator, "_reject", lambda self, action: None)
    patch.setattr(Coordinator, "_fail", lambda self, action: None)


FAULTS = (
    client_disconnects_are_ignored,
    drains_are_ignored,
    a_lost_connection_is_reported_as_a_failed_connect,
    ended_attempts_are_kept,
    a_request_that_may_have_run_is_retried,
    values_of_two_requests_are_swapped,
    a_frame_in_a_full_socket_is_not_revoked,
    a_keyed_retry_is_sent_after_its_deduplication_window,
    a_sent_frame_is_treated_as_unsent,
    a_request_that_may_have_run_is_rejected_as_not_executed,
    a_query_is_never_rejected_or_failed,
)


@pytest.mark.parametrize("inject", FAULTS, ids=lambda fault: fault.__name__)
def test_the_state_machine_finds(monkeypatch, inject):
    inject(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            Endings,
            settings=limits(
                limits.get_profile("endings"), max_examples=EXAMPLES, report_multiple_bugs=False
            ),
        )
