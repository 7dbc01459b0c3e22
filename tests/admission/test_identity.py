"""Who is asking, and who may enter."""

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


def who(identity, address="10.1.2.3", user="u", database="d", claimed=""):
    return identity.identify(Caller(address, user, database), claimed).tenant


def test_the_longest_network_wins_then_the_order_of_the_file():
    identity = TenantResolver(
        [
            rule("wide", networks=("10.0.0.0/8",)),
            rule("narrow", networks=("10.1.0.0/16",)),
            rule("again", networks=("10.1.0.0/16",)),
            rule("six", networks=("2001:db8::/32",)),
        ]
    )
    assert who(identity, "10.1.9.9") == "narrow"
    assert who(identity, "10.2.9.9") == "wide"
    assert who(identity, "2001:db8:5::1") == "six"
    assert who(identity, "::ffff:10.1.0.4") == "narrow"


def test_all_keys_given_must_fit_and_names_are_filled_in():
    identity = TenantResolver(
        [
            rule("r1", "fleet-{user}", user="fleet_(.*)", networks=("10.0.0.0/8",)),
            rule("r2", "db-{database}", database="shop_.*"),
            rule("r3", "{setting}", setting="[a-z]+", networks=("192.168.0.0/16",)),
        ]
    )
    assert who(identity, user="fleet_saigon") == "fleet-saigon"
    assert who(identity, "11.0.0.1", user="fleet_saigon") == "net:11.0.0.0/24"
    assert who(identity, database="shop_7") == "db-shop_7"
    assert who(identity, "192.168.1.1", claimed="gold") == "gold"
    assert who(identity, "192.168.1.1", claimed="GOLD") == "net:192.168.1.0/24"
    assert who(identity, "10.1.1.1", claimed="gold") == "net:10.1.1.0/24"


@given(st.text(max_size=100), st.text(max_size=100))
def test_made_up_names_gain_nothing(user, claimed):
    identity = TenantResolver([rule("known", networks=("10.0.0.0/8",), user="known")])
    assert who(identity, "203.0.113.9", user, claimed=claimed) == "net:203.0.113.0/24"
    assert who(identity, "2001:db8:1:2::9", user, claimed=claimed) == "net:2001:db8:1::/48"


ADDRESSES = st.integers(0, 2**32 - 1)


@given(st.lists(st.tuples(ADDRESSES, st.integers(0, 32)), max_size=12), ADDRESSES)
def test_networks_are_found_from_the_longest_as_a_plain_search_finds_them(members, number):
    networks = NetworkTable()
    texts = [str(IPNetwork((first, length), version=4).cidr) for first, length in members]
    for text in texts:
        networks.add(text, text)
    address = IPAddress(number, 4)
    wanted = sorted(
        {t for t in texts if address in IPNetwork(t)}, key=lambda t: -IPNetwork(t).prefixlen
    )
    assert [group[0] for group in networks.groups(address)] == wanted


def test_allow_and_deny_by_the_longest_network():
    identity = TenantResolver(
        allow=["10.0.0.0/8", "10.1.5.0/24"], deny=["10.1.0.0/16", "10.1.5.0/24"]
    )
    assert identity.may_connect("10.2.0.1")
    assert not identity.may_connect("10.1.0.1")
    assert not identity.may_connect("10.1.5.1")  # both name it: deny wins
    assert not identity.may_connect("192.168.0.1")  # there is a list of those allowed
    assert TenantResolver(deny=["10.0.0.0/8"]).may_connect("192.168.0.1")
    assert TenantResolver().may_connect("anything")


def test_what_is_remembered_of_callers_is_bounded():
    identity = TenantResolver()
    for number in range(10_000):
        who(identity, str(IPAddress(number, 4)))
    assert len(identity._cache) <= 4096
    assert read_address("fe80::1%eth0") == IPAddress("fe80::1")


TEXT = """
[roster]
file = x
[class a]
aim_ms = 1000
give_up_ms = 2000
"""


@pytest.mark.parametrize(
    ("more", "words"),
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
def test_bad_settings_are_named(more, words):
    with pytest.raises(config.ConfigError) as problem:
        config.parse(TEXT + more)
    assert words in str(problem.value)
