"""Grammars of hostile input: statements, answers of data nodes, lines of discovery."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hypothesis import strategies as st

from tansycrank.testbed.fuzz import parameter_inputs
from tansycrank.testbed.fuzz.parameter_inputs import Parameter

MAX_STATEMENT = 262_144  # characters, the router's default
MAX_LINE = 4_000_000  # characters on a watch, nearly what a document may have
MAX_FEED_BYTES = 900_000  # at once, nearly what a line of the feed may have
MAX_SHOWN = 160  # characters of an input in a report


class Target(Enum):
    """What is played against a router."""

    QUERY = "query"  # a statement in the simple protocol
    PARSE = "parse"  # a statement in the extended protocol
    BIND = "bind"  # a statement with a parameter
    FEED = "feed"  # text on the endpoint feed
    ANSWER = "answer"  # an answer of a data node
    LINE = "line"  # a line on a discovery watch


@dataclass(frozen=True, repr=False)
class Input:
    """One hostile input; `data` is SQL or a line, for an answer the name of its spoiling."""

    target: Target
    data: str
    amount: int = 0  # of bytes, for an answer; of repetitions, for the feed
    parameter: Parameter | None = None

    def __repr__(self) -> str:
        """The input for a report, cut."""
        text = self.data if len(self.data) <= MAX_SHOWN else f"{self.data[:MAX_SHOWN]}..."
        bound = f" with {self.parameter}" if self.parameter else ""
        return f"{self.target.value} ({len(self.data)} characters, {self.amount}): {text!r}{bound}"


# Sizes from some to the largest statement; each form cuts itself to what a statement may hold.
SIZES = st.one_of(st.integers(100, 3000), st.integers(3000, MAX_STATEMENT))


def _fill(head: str, part: str, size: int, tail: str = "") -> str:
    room = max(min(size, MAX_STATEMENT) - len(head) - len(tail), 0)
    return head + part * max(room // len(part), 1) + tail


def _nest(head: str, left: str, core: str, right: str, size: int) -> str:
    room = max(min(size, MAX_STATEMENT) - len(head) - len(core), 0)
    levels = max(room // (len(left) + len(right)), 1)
    return head + left * levels + core + right * levels


def _numbers() -> st.SearchStrategy[str]:
    digits = st.builds(lambda digit, size: digit * size, st.sampled_from("179"), SIZES)
    exponents = st.one_of(st.integers(20, 400_000), st.integers(400_000, 99_999_999))
    return st.one_of(
        digits.map(lambda text: text[: MAX_STATEMENT - 200]),
        st.builds("{}1e{}".format, st.sampled_from(["", "-"]), exponents),
        st.builds("1e-{}".format, exponents),
        st.sampled_from(["9223372036854775808", "0x" + "f" * 60_000, "1_000", "1e", "NaN"]),
    )


def _number_statements() -> st.SearchStrategy[str]:
    places = st.sampled_from(
        [
            "SELECT name FROM drivers WHERE id = {}",
            "SELECT name FROM drivers WHERE id = '{}'",
            "SELECT name FROM drivers WHERE id IN (1, {})",
            "INSERT INTO drivers (id, name) VALUES ({}, 'x')",
            "UPDATE drivers SET name = 'x' WHERE id = {}",
            "SELECT name FROM drivers LIMIT {}",
            "SELECT name FROM drivers ORDER BY name OFFSET {}",
            "SELECT {}",
            "SELECT round(avg(rating), {}) FROM drivers",
            "SELECT count(*) FROM drivers HAVING count(*) > {}",
        ]
    )
    return st.builds(lambda place, number: place.format(number), places, _numbers())


def _scan_statements() -> st.SearchStrategy[str]:
    heads = st.sampled_from(["SELECT 1", "SELECT name FROM drivers WHERE id = 1", "SELECT '"])
    parts = st.sampled_from([" ", "\n", "\t ", "/**/", "--\n", "a ", "''", '"', "$a$", "\\'", "1 "])
    tails = st.sampled_from([";SELECT 2", "; x", ";", "", "'", "x'"])
    return st.builds(_fill, heads, parts, SIZES, tails)


def _parameter_statements() -> st.SearchStrategy[str]:
    numbers = st.one_of(st.integers(0, 70_000), st.integers(0, 4_000_000_000))
    places = st.sampled_from(
        ["SELECT name FROM drivers WHERE name = ${}", "SELECT name FROM drivers LIMIT ${}"]
    )
    return st.builds(lambda place, number: place.format(number), places, numbers)


def _deep_statements() -> st.SearchStrategy[str]:
    chains = [
        ("SELECT 1", "+1"),
        ("SELECT 1", "::int4"),
        ("SELECT 'a'", "||'a'"),
        ("SELECT 1", " IS NULL"),
        ("SELECT 1", " UNION SELECT 1"),
        ("SELECT 1 FROM zones", " CROSS JOIN zones"),
        ("SELECT now()", " AT TIME ZONE 'UTC'"),
        ("SELECT name FROM drivers WHERE id = 1", "+1"),
        ("SELECT 1", " OPERATOR(pg_catalog.+) 1"),
    ]
    nests = [
        ("SELECT ", "(", "1", ")"),
        ("SELECT ", "abs(", "1", ")"),
        ("SELECT ", "NOT ", "true", ""),
        ("SELECT ", "- ", "1", ""),
        ("SELECT ", "(SELECT ", "1", ")"),
        ("SELECT ", "CASE WHEN true THEN ", "1", " END"),
        ("SELECT ARRAY", "[", "1", "]"),
    ]
    return st.one_of(
        st.builds(lambda form, size: _fill(*form, size), st.sampled_from(chains), SIZES),
        st.builds(lambda form, size: _nest(*form, size), st.sampled_from(nests), SIZES),
    )


def _wide_statements() -> st.SearchStrategy[str]:
    forms = [
        ("SELECT name FROM drivers WHERE id IN (1", ",1", ")"),
        ("SELECT name FROM drivers WHERE id = 1", " OR id = 2", ""),
        ("SELECT name FROM drivers WHERE id = 1", " AND id <> 2", ""),
        ("INSERT INTO drivers (id) VALUES (1)", ",(1)", ""),
        ("SELECT 1", ",id", " FROM drivers"),
        ("SELECT count(*) FROM drivers GROUP BY name", ",name", ""),
        ("SELECT id FROM drivers ORDER BY id+0", ",id+0", ""),
        ("SELECT sum(rating)", ",sum(rating)", " FROM drivers"),
        ("SELECT 1", ";SELECT 1", ""),
        ("SELECT coalesce(1", ",1", ")"),
        ("SELECT 1 FROM zones WHERE id = ANY (ARRAY[1", ",2", "])"),
    ]
    return st.builds(
        lambda form, size: _fill(form[0], form[1], size, form[2]), st.sampled_from(forms), SIZES
    )


STATEMENTS = {
    "numbers": _number_statements,
    "scans": _scan_statements,
    "parameters": _parameter_statements,
    "depth": _deep_statements,
    "width": _wide_statements,
}


def _statement_inputs(form: str) -> st.SearchStrategy[Input]:
    return st.builds(Input, st.sampled_from([Target.QUERY, Target.PARSE]), STATEMENTS[form]())


def _bind_inputs() -> st.SearchStrategy[Input]:
    return st.builds(
        Input,
        st.just(Target.BIND),
        st.sampled_from(parameter_inputs.STATEMENTS),
        st.just(0),
        parameter_inputs.parameters(),
    )


def _feed_inputs() -> st.SearchStrategy[Input]:
    parts = st.sampled_from(
        ["\n", "{}\n", "[", '"', "x", "[[[\n", '{"kind":"beat","version":1}\n', "\xff\n", '{"a":']
    )
    return st.builds(
        lambda part, size: Input(Target.FEED, part, max(size // len(part), 1)),
        parts,
        st.integers(1, MAX_FEED_BYTES),
    )


def sql_inputs(form: str | None = None) -> st.SearchStrategy[Input]:
    """Input for the SQL router: statements in both protocols, parameters, text on its feed.

    `form` is one of `SQL_FORMS`; without it, of all.
    """
    others = {"bind": _bind_inputs, "feed": _feed_inputs}
    forms = [form] if form else SQL_FORMS
    return st.one_of(
        [others[name]() if name in others else _statement_inputs(name) for name in forms]
    )


SQL_FORMS = (*STATEMENTS, "bind", "feed")


SPOILINGS = ("short", "short, copy", "short, empty frame", "long, copy", "long", "copy", "noise")


def platform_inputs(form: str | None = None) -> st.SearchStrategy[Input]:
    """Answers of data nodes and lines of discovery for the platform's router, or one of both."""
    answers = st.builds(
        Input, st.just(Target.ANSWER), st.sampled_from(SPOILINGS), st.integers(1, 12)
    )
    line_parts = st.sampled_from(
        ['\\"', '"', "\\", "[", "{", '{"a":', " ", "9", "1e", "\n", '""', '"a",', "[\n", "{}\n"]
    )
    line_heads = st.sampled_from(
        ["", '{"', "{", '{"x":[', '{"version": ', '{"version": 9, "servers": [{"id": "']
    )
    sizes = st.one_of(st.integers(10, 400_000), st.integers(400_000, MAX_LINE))
    lines = st.builds(
        lambda head, part, size: Input(Target.LINE, head + part * (size // len(part))),
        line_heads,
        line_parts,
        sizes,
    )
    return {"answers": answers, "lines": lines}.get(form, st.one_of(answers, lines))
