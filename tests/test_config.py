"""The settings file: errors name the file, section, key, value and what is allowed."""

import pytest
from test_planner import CONFIG_TEXT

from tansycrank import config
from tansycrank.routing import Idempotency


@pytest.mark.parametrize(
    "old, new, message_parts",
    [
        ("aim_ms = 1000", "aim_ms = soon", ("[class lookup]", "aim_ms", "soon")),
        ("aim_ms = 1000", "aim_ms = 5000", ("aim_ms", "at most give_up_ms")),
        ("aim_ms = 1000", "aim_mss = 1000", ("aim_mss", "unknown key", "give_up_ms")),
        ("aim_ms = 1000\n", "", ("aim_ms", "is missing")),
        ("reach = 3", "reach = 9", ("[store]", "reach", "at most cells")),
        ("shards = 4", "shards = 0", ("shards", ">= 1")),
        ("shards = 4", "shards = 4\nschema = same", ("schema", "{shard}")),
        ("file = nodes.ini", "file = nodes.ini\nfeed = a:1", ("feed", "not both")),
        ("file = nodes.ini", "feed = nowhere", ("feed", "host:port")),
        ("method = hash", "method = round", ("[distribution driver]", "method", "round")),
        ("type = int8", "type = float8", ("type", "one of int2")),
        ("1: c;", "7: c;", ("values", "shards 0 to 3")),
        ("1: c;", "1: a;", ("values", "each value once")),
        (
            "distribution = driver",
            "distribution = drivers",
            ("[table drivers]", "one of: district, driver"),
        ),
        (
            "columns = id int8, name text",
            "columns = id int8, name string",
            ("columns", "name string"),
        ),
        ("column = id", "column = idd", ("column", "one of: id, name")),
        ("[roster]", "[rooster]", ("[rooster]", "allowed sections")),
        ("[roster]", "[rules]\nbudget_floor = 3\n[roster]", ("budget_share", "a budget needs all")),
        ("[roster]", "[router]\nzone = x\n[roster]", ("zone", "one of the zones a")),
        ("[roster]", "[router]\nme = 2\n[roster]", ("me", "below routers")),
        ("[roster]", "[listen]\nport = 70000\n[roster]", ("[listen]", "port", "70000")),
        ("[roster]", "[log]\nformat = xml\n[roster]", ("format", "xml")),
        ("give_up_ms = 2000", "give_up_ms = 2000\npattern = (", ("pattern", "regular expression")),
    ],
)
def test_an_error_names_the_invalid_value_and_the_allowed_ones(old, new, message_parts):
    assert old in CONFIG_TEXT
    with pytest.raises(config.ConfigError) as error:
        config.parse(CONFIG_TEXT.replace(old, new, 1), "router.ini")
    for word in ("router.ini", *message_parts):
        assert word in str(error.value)


def test_an_error_names_a_missing_file(tmp_path):
    with pytest.raises(config.ConfigError) as error:
        config.load(tmp_path / "none.ini")
    assert "none.ini" in str(error.value)


def test_each_class_becomes_three_query_classes_of_the_routing_policy():
    loaded = config.parse(
        CONFIG_TEXT + "\n[class report]\naim_ms = 5\ngive_up_ms = 9\ndedup_window_ms = 7\n"
    )
    settings = config.routing_settings(loaded)
    assert [c.idempotency for c in settings.classes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.WITH_KEY,
        Idempotency.NOT_IDEMPOTENT,
    ] * 2
    assert (
        settings.classes[4].dedup_window == 7
        and settings.polls_discovery
        and settings.replica_span == 3
    )


def test_the_operators_page_lists_every_key():
    from pathlib import Path

    import msgspec

    folder = Path(__file__).parent.parent / "docs/operate"
    page = "".join((folder / name).read_text(encoding="utf-8") for name in ("router.md", "door.md"))
    for section_type in (*config.SINGLE_SECTIONS.values(), *config.NAMED_SECTIONS.values()):
        for field in msgspec.structs.fields(section_type):
            assert field.name in page, field.name


def test_the_example_settings_are_valid():
    from pathlib import Path

    loaded = config.load(Path(__file__).parent.parent / "deploy/router.example.ini")
    assert loaded.tables["trips"].distribution == "district"
