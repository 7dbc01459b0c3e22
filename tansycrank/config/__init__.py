"""Settings from an INI file, checked before use.

`load` and `parse` return a `Config`; a `ConfigError` names file, section, key, value and what is
allowed.
"""

from tansycrank.config.conversion import admission_policy, routing_settings, tenant_resolver
from tansycrank.config.errors import ConfigError
from tansycrank.config.loader import load, parse
from tansycrank.config.model import Config, Distribution, QueryClassConfig, Table, split_list
from tansycrank.config.sections import (
    NAMED_SECTIONS,
    SINGLE_SECTIONS,
    ClassSection,
    DistributionSection,
    DoorSection,
    ListenSection,
    LogSection,
    MergeSection,
    RosterSection,
    RouterSection,
    RulesSection,
    StoreSection,
    TableSection,
    TenantSection,
)

__all__ = [
    "NAMED_SECTIONS",
    "SINGLE_SECTIONS",
    "ClassSection",
    "Config",
    "ConfigError",
    "Distribution",
    "DistributionSection",
    "DoorSection",
    "ListenSection",
    "LogSection",
    "MergeSection",
    "QueryClassConfig",
    "RosterSection",
    "RouterSection",
    "RulesSection",
    "StoreSection",
    "Table",
    "TableSection",
    "TenantSection",
    "admission_policy",
    "load",
    "parse",
    "routing_settings",
    "split_list",
    "tenant_resolver",
]
