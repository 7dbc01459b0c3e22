"""The six rules, judged from what passed on client and node sockets alone.

Clients note each query with its tag (a leading comment, which the router passes on), nodes note
each statement with the comment it came with. No word of the router about itself is used.
"""

from __future__ import annotations

import re
from collections import defaultdict
from dataclasses import dataclass, field

TAG = re.compile(r"/\*(q[0-9a-z-]+)")
SHARD = re.compile(r"\bs(\d{4})\.")
REFUSED, FAILED = "53T01", "58T01"
SLACK = 250.0  # ms: a busy node notes a statement later than it came, a busy client an answer


@dataclass(frozen=True, slots=True)
class Told:
    """The roster's word that a node drains or is gone, or is back: from `at` (ms) on."""

    node: int
    status: str
    at: float


@dataclass(slots=True)
class Figures:
    """The figures of the rules in force."""

    answer_grace: float = 300.0
    drain_grace: float = 500.0
    dedup_window: float = 2000.0
    budget: tuple[float, float, float] | None = None  # floor, share, window in ms


@dataclass(slots=True)
class Verdict:
    """What was found: breaks by rule, each a sentence; counts; peaks of cold nodes."""

    breaks: dict[int, list[str]] = field(default_factory=lambda: {rule: [] for rule in range(1, 7)})
    counts: dict[str, int] = field(default_factory=dict)
    cold_peaks: dict[int, float] = field(default_factory=dict)

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.breaks.values())

    def report(self) -> dict:
        """For people and machines; at most five breaks a rule."""
        return {
            "kept": self.kept,
            "rules": {str(r): {"breaks": len(b), "first": b[:5]} for r, b in self.breaks.items()},
            "counts": self.counts,
            "cold_peaks": {str(n): round(p, 3) for n, p in self.cold_peaks.items()},
        }


def judge(queries: list[dict], journal: list[dict], told: list[Told], figures: Figures) -> Verdict:
    """Judge a run. `queries` are the clients' notes, `journal` the nodes', both in ms of one
    clock.
    """
    verdict = Verdict()
    sends: dict[str, list[dict]] = defaultdict(list)
    applied: dict[str, int] = defaultdict(int)
    for entry in journal:
        tag = TAG.search(entry.get("sql", ""))
        if entry["ev"] == "stmt" and tag:
            sends[tag[1]].append(entry)
        elif entry["ev"] == "write" and entry["applied"] and tag:
            applied[tag[1]] += 1
        elif entry["ev"] == "fell":
            verdict.breaks[4].append(
                f"node {entry['node']} was pushed over at {entry['peak']:.2f} of its limit"
            )
    _count(verdict, queries, sends)
    for query in queries:
        mine = sorted(sends.get(query["tag"], ()), key=lambda e: e["t"])
        _rule_1(verdict, query, mine, figures)
        _rule_2(verdict, query, mine, applied.get(query["tag"], 0), figures)
        if query["outcome"] == "wrong":
            verdict.breaks[5].append(
                f"{query['tag']}: answered with other rows than the whole: {query['note']}"
            )
    _rule_3(verdict, journal, told, figures)
    if figures.budget is not None:
        _rule_6(verdict, queries, sends, figures.budget)
    return verdict


def _count(verdict: Verdict, queries: list[dict], sends: dict[str, list[dict]]) -> None:
    verdict.counts["queries"] = len(queries)
    verdict.counts["statements at nodes"] = sum(map(len, sends.values()))
    for query in queries:
        name = f"{query['effect']} {query['outcome']}"
        verdict.counts[name] = verdict.counts.get(name, 0) + 1


def _rule_1(verdict: Verdict, query: dict, sends: list[dict], figures: Figures) -> None:
    tag, outcome, done = query["tag"], query["outcome"], query["done"]
    if outcome == "lost":  # the connection broke without an answer
        if not query.get("excused"):
            verdict.breaks[1].append(f"{tag}: no final answer")
        return
    if outcome == "many":
        verdict.breaks[1].append(f"{tag}: more than one final answer")
    if outcome != "left" and done - query["sent"] > query["deadline"] + figures.answer_grace:
        verdict.breaks[1].append(
            f"{tag}: answered after {done - query['sent']:.0f} ms of {query['deadline']:.0f}"
        )
    if outcome == REFUSED and query.get("retry_after") is None:
        verdict.breaks[1].append(f"{tag}: refused without a time to come back")
    for entry in sends:
        if entry["t"] > done + SLACK:
            verdict.breaks[1].append(
                f"{tag}: sent to node {entry['node']} {entry['t'] - done:.0f} ms after its end"
            )


def _rule_2(
    verdict: Verdict, query: dict, sends: list[dict], applied: int, figures: Figures
) -> None:
    tag, effect = query["tag"], query["effect"]
    if effect == "safe":
        return
    if applied > 1:
        verdict.breaks[2].append(f"{tag}: took effect {applied} times")
    if effect == "unsafe":
        if len(sends) > 1:
            verdict.breaks[2].append(
                f"{tag}: unsafe, and sent to nodes {[e['node'] for e in sends]}"
            )
        if query["outcome"] == REFUSED and sends:
            verdict.breaks[2].append(
                f"{tag}: called harmless to repeat, but node {sends[0]['node']} had it"
            )
    elif len(sends) > 1 and sends[-1]["t"] - sends[0]["t"] > figures.dedup_window + SLACK:
        late = sends[-1]["t"] - sends[0]["t"]
        verdict.breaks[2].append(f"{tag}: keyed, and sent again {late:.0f} ms after its first send")


def _rule_3(verdict: Verdict, journal: list[dict], told: list[Told], figures: Figures) -> None:
    closed: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for word in sorted(told, key=lambda w: w.at):
        spans = closed[word.node]
        if word.status == "ready":
            if spans and spans[-1][1] == float("inf"):
                spans[-1] = spans[-1][0], word.at
        elif not spans or spans[-1][1] < float("inf"):
            spans.append((word.at, float("inf")))
    for entry in journal:
        if entry["ev"] in ("stmt", "describe"):
            for start, end in closed.get(entry["node"], ()):
                if start + figures.drain_grace + SLACK < entry["t"] < end:
                    late = entry["t"] - start
                    verdict.breaks[3].append(
                        f"node {entry['node']}: sent to {late:.0f} ms after its end was told"
                    )


def _rule_6(
    verdict: Verdict, queries: list[dict], sends: dict[str, list[dict]], budget: tuple
) -> None:
    """Per router, in any window: attempts beyond a part's first, against the queries and parts it
    took.
    """
    floor, share, window = budget
    taken: dict[str, list[tuple[float, int]]] = defaultdict(list)
    extras: dict[str, list[float]] = defaultdict(list)
    for query in queries:
        mine = sends.get(query["tag"], [])
        shards: dict[str, int] = defaultdict(int)
        for entry in sorted(mine, key=lambda e: e["t"]):
            found = SHARD.search(entry["sql"])
            shard = found[1] if found else ""
            shards[shard] += 1
            if shards[shard] > 1:
                extras[entry["app"]].append(entry["t"])
        taken[f"tansycrank-{query['router']}"].append((query["sent"], 1 + query["parts"]))
    for app, times in extras.items():
        times.sort()
        start = 0
        for index, at in enumerate(times):
            while times[start] <= at - window + SLACK:  # a narrower window for what was sent
                start += 1
            number = index - start + 1
            allowed = floor + share * sum(
                n for t, n in taken[app] if at - window - SLACK < t <= at + SLACK
            )
            if number > allowed + 1e-9:
                verdict.breaks[6].append(
                    f"{app}: {number} further attempts in {window:.0f} ms, {allowed:.1f} allowed"
                )
                break
