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

NAME_LIMIT = 80  # characters of a tenant's name
PLACES = ("user", "database", "setting", "network")
KNOWN = 4096  # sessions' answers remembered


class Networks:
    """Networks with what belongs to them; finds them from the longest to the shortest. IPv4 and
    IPv6.
    """

    def __init__(self) -> None:
        self._maps: dict[tuple[int, int], dict[int, list[object]]] = {}
        self._lengths: dict[int, list[int]] = {4: [], 6: []}

    def add(self, text: str, value: object) -> None:
        """Add a network in CIDR form or one address. Raises ValueError."""
        network = read_network(text)
        length = network.prefixlen
        if (network.version, length) not in self._maps:
            self._maps[network.version, length] = {}
            self._lengths[network.version] = sorted(
                [*self._lengths[network.version], length], reverse=True
            )
        self._maps[network.version, length].setdefault(network.first, []).append(value)

    def groups(self, address: IPAddress) -> Iterable[list[object]]:
        """Values of each network the address is in, longest first."""
        number, bits = int(address), 32 if address.version == 4 else 128
        for length in self._lengths[address.version]:
            found = self._maps[address.version, length].get(
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
class Rule:
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


class Identity:
    """All rules. `prefix4` and `prefix6`: bits of an address that unknown callers share a tenant
    by.
    """

    def __init__(
        self,
        rules: Iterable[Rule] = (),
        allow: Iterable[str] = (),
        deny: Iterable[str] = (),
        prefix4: int = 24,
        prefix6: int = 48,
    ) -> None:
        self.rules = tuple(rules)
        self._known: dict[tuple[str, str, str, str], CallerIdentity] = {}
        self.prefix = {4: prefix4, 6: prefix6}
        self._entry, self._allowing = Networks(), False
        for text in allow:
            self._entry.add(text, True)
            self._allowing = True
        for text in deny:
            self._entry.add(text, False)
        self._networks = Networks()
        self._anywhere = [rule for rule in self.rules if not rule.networks]
        for rule in self.rules:
            for text in rule.networks:
                self._networks.add(text, rule)

    def may_enter(self, address: str) -> bool:
        """Whether a peer may have a session: the longest network on either list says; deny wins a
        tie.

        Who is on neither list may enter unless there is a list of those allowed.
        """
        try:
            found = self._entry.longest(read_address(address))
        except (AddrFormatError, ValueError):
            found = []
        return False not in found if found else not self._allowing

    def identify(self, caller: Caller, claimed: str = "") -> CallerIdentity:
        """The tenant of a session, which sets `tansycrank.tenant` to what it claims. Kept for a
        while.
        """
        key = caller.address, caller.user, caller.database, claimed
        if key not in self._known:
            if len(self._known) >= KNOWN:
                self._known.clear()
            self._known[key] = self._identify(caller, claimed)
        return self._known[key]

    def _identify(self, caller: Caller, claimed: str) -> CallerIdentity:
        try:
            peer = read_address(caller.address)
        except (AddrFormatError, ValueError):
            peer = None
        client = f"{caller.address}/{caller.user[:NAME_LIMIT]}"
        near = chain.from_iterable(self._networks.groups(peer)) if peer is not None else ()
        for rule in chain(near, self._anywhere):
            name = self._name(rule, caller, claimed, peer)
            if name is not None:
                return CallerIdentity(name[:NAME_LIMIT], client, rule.limits)
        return CallerIdentity(self._shared(peer), client, Limits())

    def _shared(self, peer: IPAddress | None) -> str:
        if peer is None:
            return "net:local"
        bits = 32 if peer.version == 4 else 128
        length = min(self.prefix[peer.version], bits)
        first = int(peer) >> (bits - length) << (bits - length)
        return f"net:{IPAddress(first, peer.version)}/{length}"

    def _name(self, rule: Rule, caller: Caller, claimed: str, peer: IPAddress | None) -> str | None:
        found = {"user": caller.user, "database": caller.database, "setting": claimed}
        for place, pattern in (
            ("user", rule.user),
            ("database", rule.database),
            ("setting", rule.setting),
        ):
            if pattern is None:
                continue
            match = pattern.fullmatch(found[place])
            if match is None:
                return None
            if match.groups():
                found[place] = match[1] or ""
        if "{setting}" in rule.tenant and not claimed:
            return None
        return rule.tenant.format(network=self._shared(peer), **found)
