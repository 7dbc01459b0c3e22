"""Validation of the settings of the routing policy."""

import pytest
from helpers import settings

from tansycrank import routing


@pytest.mark.parametrize(
    "field, value",
    [
        ("routers", 0),
        ("router_index", 3),
        ("replica_span", 9),
        ("slow_start_initial_share", 1.5),
        ("max_attempts", 0),
        ("max_retry_after", -1.0),
        ("budget_window", 100.0),
    ],
)
def test_settings_name_the_field_that_is_wrong(field, value):
    with pytest.raises(ValueError, match="budget_" if field == "budget_window" else field):
        settings(**{field: value})


def test_classes_name_the_field_that_is_wrong():
    with pytest.raises(ValueError, match="latency_objective"):
        routing.QueryClass(latency_objective=-1.0, deadline=1.0, priority_weight=1.0)
    with pytest.raises(ValueError, match="minimum_coverage"):
        routing.QueryClass(
            latency_objective=1.0,
            deadline=1.0,
            priority_weight=1.0,
            minimum_coverage=0.9,
            complete_coverage=0.5,
        )
    with pytest.raises(ValueError, match="classes"):
        routing.Settings(classes=())
