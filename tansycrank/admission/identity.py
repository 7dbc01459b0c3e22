"""Caller identity: which tenant a session belongs to, and which networks may connect.

The longest network wins, then the order of the file. Callers without a rule share a tenant by
network, so that a name made up for each query gains nothing.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain

from netaddr import AddrFormatError, IPAddress, IPNetwork

from tansycrank.admission.settings import Limits

MAX_NAME_LENGTH = 80  # characters of a tenant's name
PLACEHOLDERS = ("user", "database", "setting", "network")
MAX_CACHED_CALLERS = 4096  # sessions' answers remembered


class NetworkTable:
    """Maps IPv4 and IPv6 networks to values; looks an address up by longest prefix first."""

    def __init__(self) -> None:
        self._values: dict[tuple[int, int], dict[int, list[object]]] = {}
        self._lengths: dict[int, list[int]] = {4: [], 6: []}

    def add(self, text: str, value: object) -> None:
        """Add a network in CIDR form or one address. Raises ValueError."""
        network = read_network(text)
        length = network.prefixlen
        if (network.version, length) not in self._values:
            self._values[network.version, length] = {}
            self._lengths[network.version] = sorted(
                [*self._lengths[network.version], length], reverse=True
            )
        self._values[network.version, length].setdefault(network.first, []).append(value)

    def groups(self, address: IPAddress) -> Iterable[list[object]]:
        """Values of each network the address is in, longest first."""
        number, bits = int(address), 32 if address.version == 4 else 128
        for length in self._lengths[address.version]:
            found = self._values[address.version, length].get(
                number >> (bits - length) << (bits - length)
            )
            if found:
                yield found

    def longest(self, address: IPAddress) -> list[object]:
        """Values of the longest network the address is in."""
        return next(iter(self.groups(address)), [])


def read_network(text: str) -> IPNetwork:
    """A network or address as operators write it. Raises ValueError with what is allowed."""
    try:
        return IPNetwork(text.strip()).cidr
    except (AddrFormatError, ValueError):
        allowed = "a network as 10.1.0.0/16 or 2001:db8::/32, or one address"
        raise ValueError(f"{text.strip()!r} is not {allowed}") from None


def read_address(text: str) -> IPAddress:
    """An address of a peer; an IPv4 address in IPv6 clothes is the IPv4 address."""
    address = IPAddress(text.partition("%")[0])
    return address.ipv4() if address.version == 6 and address.is_ipv4_mapped() else address


@dataclass(frozen=True, slots=True)
class TenantRule:
    """A rule of the settings: what must fit, and the tenant's name with {places} to fill in."""

    name: str
    tenant: str
    limits: Limits
    networks: tuple[str, ...] = ()
    user: re.Pattern | None = None
    database: re.Pattern | None = None
    setting: re.Pattern | None = None


@dataclass(frozen=True, slots=True)
class Caller:
    """A session as the door knows it."""

    address: str
    user: str
    database: str
    session: int = 0


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """Who asks: the tenant, the client within it, and the rule's limits."""

    tenant: str
    client: str
    limits: Limits


class TenantResolver:
    """All rules. `prefix4` and `prefix6`: bits of an address that unknown callers share a tenant
    by.
    """

    def __init__(
        self,
        rules: Iterable[TenantRule] = (),
        allow: Iterable[str] = (),
        deny: Iterable[str] = (),
        prefix4: int = 24,
        prefix6: int = 48,
    ) -> None:
        self.rules = tuple(rules)
        self._cache: dict[tuple[str, str, str, str], CallerIdentity] = {}
        self.prefix = {4: prefix4, 6: prefix6}
        self._access_list, self._has_allow_list = NetworkTable(), False
        for text in allow:
            self._access_list.add(text, True)
            self._has_allow_list = True
        for text in deny:
            self._access_list.add(text, False)
        self._networks = NetworkTable()
        self._rules_for_any_network = [rule for rule in self.rules if not rule.networks]
        for rule in self.rules:
            for text in rule.networks:
                self._networks.add(text, rule)

    def may_connect(self, address: str) -> bool:
        """Whether a peer may have a session: the longest network on either list says; deny wins a
        tie.

        Who is on neither list may enter unless there is a list of those allowed.
        """
        try:
            found = self._access_list.longest(read_address(address))
        except (AddrFormatError, ValueError):
            found = []
        return False not in found if found else not self._has_allow_list

    def identify(self, caller: Caller, claimed: str = "") -> CallerIdentity:
        """The tenant of a session, which sets `tansycrank.tenant` to what it claims. Kept for a
        while.
        """
        key = caller.address, caller.user, caller.database, claimed
        if key not in self._cache:
            if len(self._cache) >= MAX_CACHED_CALLERS:
                self._cache.clear()
            self._cache[key] = self._identify(caller, claimed)
        return self._cache[key]

    def _identify(self, caller: Caller, claimed: str) -> CallerIdentity:
        try:
            peer = read_address(caller.address)
        except (AddrFormatError, ValueError):
            peer = None
        client = f"{caller.address}/{caller.user[:MAX_NAME_LENGTH]}"
        by_network = chain.from_iterable(self._networks.groups(peer)) if peer is not None else ()
        for rule in chain(by_network, self._rules_for_any_network):
            name = self._tenant_name(rule, caller, claimed, peer)
            if name is not None:
                return CallerIdentity(name[:MAX_NAME_LENGTH], client, rule.limits)
        return CallerIdentity(self._network_tenant(peer), client, Limits())

    def _network_tenant(self, peer: IPAddress | None) -> str:
        if peer is None:
            return "net:local"
        bits = 32 if peer.version == 4 else 128
        length = min(self.prefix[peer.version], bits)
        first = int(peer) >> (bits - length) << (bits - length)
        return f"net:{IPAddress(first, peer.version)}/{length}"

    def _tenant_name(
        self, rule: TenantRule, caller: Caller, claimed: str, peer: IPAddress | None
    ) -> str | None:
        found = {"user": caller.user, "database": caller.database, "setting": claimed}
        for placeholder, pattern in (
            ("user", rule.user),
            ("database", rule.database),
            ("setting", rule.setting),
        ):
            if pattern is None:
                continue
            match = pattern.fullmatch(found[placeholder])
            if match is None:
                return None
            if match.groups():
                found[placeholder] = match[1] or ""
        if "{setting}" in rule.tenant and not claimed:
            return None
        return rule.tenant.format(network=self._network_tenant(peer), **found)
