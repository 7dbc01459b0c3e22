"""Resolution of callers to tenants, and the networks that may connect."""

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st
from netaddr import IPAddress, IPNetwork

from tansycrank import config
from tansycrank.admission.identity import (
    Caller,
    NetworkTable,
    TenantResolver,
    TenantRule,
    read_address,
)
from tansycrank.admission.settings import Limits


def rule(name, tenant=None, **keys):
    patterns = {k: re.compile(keys.pop(k)) for k in ("user", "database", "setting") if k in keys}
    return TenantRule(name, tenant or name, Limits(**keys.pop("limits", {})), **patterns, **keys)


def tenant_of(resolver, address="10.1.2.3", user="u", database="d", claimed=""):
    return resolver.identify(Caller(address, user, database), claimed).tenant


def test_the_longest_network_applies_then_the_order_of_the_file():
    resolver = TenantResolver(
        [
            rule("wide", networks=("10.0.0.0/8",)),
            rule("narrow", networks=("10.1.0.0/16",)),
            rule("again", networks=("10.1.0.0/16",)),
            rule("six", networks=("2001:db8::/32",)),
        ]
    )
    assert tenant_of(resolver, "10.1.9.9") == "narrow"
    assert tenant_of(resolver, "10.2.9.9") == "wide"
    assert tenant_of(resolver, "2001:db8:5::1") == "six"
    assert tenant_of(resolver, "::ffff:10.1.0.4") == "narrow"


def test_all_given_keys_must_match_and_placeholders_are_filled_in():
    resolver = TenantResolver(
        [
            rule("r1", "fleet-{user}", user="fleet_(.*)", networks=("10.0.0.0/8",)),
            rule("r2", "db-{database}", database="shop_.*"),
            rule("r3", "{setting}", setting="[a-z]+", networks=("192.168.0.0/16",)),
        ]
    )
    assert tenant_of(resolver, user="fleet_saigon") == "fleet-saigon"
    assert tenant_of(resolver, "11.0.0.1", user="fleet_saigon") == "net:11.0.0.0/24"
    assert tenant_of(resolver, database="shop_7") == "db-shop_7"
    assert tenant_of(resolver, "192.168.1.1", claimed="gold") == "gold"
    assert tenant_of(resolver, "192.168.1.1", claimed="GOLD") == "net:192.168.1.0/24"
    assert tenant_of(resolver, "10.1.1.1", claimed="gold") == "net:10.1.1.0/24"


@given(st.text(max_size=100), st.text(max_size=100))
def test_invented_names_do_not_change_the_tenant(user, claimed):
    resolver = TenantResolver([rule("known", networks=("10.0.0.0/8",), user="known")])
    assert tenant_of(resolver, "203.0.113.9", user, claimed=claimed) == "net:203.0.113.0/24"
    assert tenant_of(resolver, "2001:db8:1:2::9", user, claimed=claimed) == "net:2001:db8:1::/48"


ADDRESSES = st.integers(0, 2**32 - 1)


@given(st.lists(st.tuples(ADDRESSES, st.integers(0, 32)), max_size=12), ADDRESSES)
def test_networks_are_found_by_longest_prefix_like_in_a_linear_search(members, number):
    networks = NetworkTable()
    texts = [str(IPNetwork((first, length), version=4).cidr) for first, length in members]
    for text in texts:
        networks.add(text, text)
    address = IPAddress(number, 4)
    expected = sorted(
        {t for t in texts if address in IPNetwork(t)}, key=lambda t: -IPNetwork(t).prefixlen
    )
    assert [group[0] for group in networks.groups(address)] == expected


def test_allow_and_deny_lists_by_the_longest_network():
    resolver = TenantResolver(
        allow=["10.0.0.0/8", "10.1.5.0/24"], deny=["10.1.0.0/16", "10.1.5.0/24"]
    )
    assert resolver.may_connect("10.2.0.1")
    assert not resolver.may_connect("10.1.0.1")
    assert not resolver.may_connect("10.1.5.1")  # on both lists: deny wins
    assert not resolver.may_connect("192.168.0.1")  # there is an allow list
    assert TenantResolver(deny=["10.0.0.0/8"]).may_connect("192.168.0.1")
    assert TenantResolver().may_connect("anything")


def test_the_cache_of_callers_is_bounded():
    resolver = TenantResolver()
    for number in range(10_000):
        tenant_of(resolver, str(IPAddress(number, 4)))
    assert len(resolver._cache) <= 4096
    assert read_address("fe80::1%eth0") == IPAddress("fe80::1")


TEXT = """
[roster]
file = x
[class a]
aim_ms = 1000
give_up_ms = 2000
"""


@pytest.mark.parametrize(
    ("more", "message"),
    [
        ("[door]\ndeny = 10.0.0.0/33", "[door] deny = '10.0.0.0/33'"),
        ("[tenant t]\nweight = 2", "one of networks, users, databases, settings"),
        ("[tenant t]\nusers = (", "[tenant t] users = '(': a regular expression"),
        ("[tenant t]\nusers = a\ntenant = {name}", "[tenant t] tenant = '{name}'"),
        ("[tenant t]\nusers = a\nweight = 0", "[tenant t] weight = '0'"),
        ("[tenant t]\nusers = a\nmin_share = 0.5\nmax_share = 0.2", "at most max_share (0.2)"),
        (
            "[tenant t]\nusers = (a)\ntenant = {user}\nmin_share = 0.1",
            "only for one tenant by name",
        ),
        (
            "[tenant t]\nusers = a\nmin_share = 0.5\n[tenant s]\nusers = b\nmin_share = 0.6",
            "at most 0.9",
        ),
        ("[door]\nmax_tenants = 3", "[door] max_tenants = '3'"),
    ],
)
def test_invalid_settings_are_reported(more, message):
    with pytest.raises(config.ConfigError) as error:
        config.parse(TEXT + more)
    assert message in str(error.value)
