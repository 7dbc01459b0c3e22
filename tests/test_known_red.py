"""How CI treats KNOWN-RED.txt, tested in separate runs of pytest."""

import re
import shlex
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
RED = "def test_red():\n    assert False\n"
GREEN = "def test_green():\n    pass\n"
EACH = (
    "import pytest\n@pytest.mark.parametrize('n', [1, 2])\ndef test_each(n):\n    assert n == 1\n"
)


@pytest.fixture
def ci(tmp_path):
    """A function that runs tests with a list, and returns the exit status and the output."""

    def run(tests, listed=None):
        (tmp_path / "test_it.py").write_text(tests)
        (tmp_path / "conftest.py").write_text(
            f"import sys\nsys.path.insert(0, {str(HERE)!r})\nimport known_red\n"
            "def pytest_configure(config):\n    known_red.register(config, 'KNOWN-RED.txt')\n"
        )
        if listed is not None:
            (tmp_path / "KNOWN-RED.txt").write_text(listed)
        command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
        completed = subprocess.run(
            command, cwd=tmp_path, capture_output=True, text=True, timeout=120
        )
        return completed.returncode, completed.stdout + completed.stderr

    return run


@pytest.mark.parametrize("listed", [None, "", "# nothing\n\n"])
def test_without_an_entry_every_test_must_pass(ci, listed):
    assert ci(GREEN, listed)[0] == 0
    assert ci(GREEN + RED, listed)[0] == 1


def test_only_the_failure_of_a_listed_test_is_ignored_and_printed(ci):
    entry = "test_it.py::test_red | pytest test_it.py, seed 1 | assertion failed | 7\n"
    code, output = ci(GREEN + RED, entry)
    assert (
        code == 0
        and "KNOWN RED test_it.py::test_red (failed): assertion failed "
        "(issue 7; pytest test_it.py, seed 1)"
        in output
    )
    assert ci(RED + RED.replace("red", "redder"), entry)[0] == 1


def test_a_failure_in_the_set_up_of_a_listed_test_is_ignored_too(ci):
    broken = (
        "import pytest\n@pytest.fixture\ndef it():\n    assert False\ndef test_red(it):\n    pass\n"
    )
    code, output = ci(broken, "test_it.py::test_red | pytest | fixture failed | 7\n")
    assert code == 0 and "(failed)" in output


def test_a_listed_test_that_passes_is_reported(ci):
    code, output = ci(GREEN, "test_it.py::test_green | pytest | it failed once | 7\n")
    assert code == 0 and "(passed: remove its entry)" in output


def test_an_entry_applies_to_all_parameters_of_a_test_or_to_the_listed_ones(ci):
    code, output = ci(EACH, "test_it.py::test_each | pytest | half of it | 7\n")
    assert code == 0 and "(failed and passed)" in output
    assert ci(EACH, "test_it.py::test_each[2] | pytest | half of it | 7\n")[0] == 0
    assert ci(EACH, "test_it.py::test_each[1] | pytest | half of it | 7\n")[0] == 1


@pytest.mark.parametrize(
    "listed",
    [
        "test_it.py::test_gone | pytest | why | 7\n",
        "test_it.py::test_red | pytest | why\n",
        "test_it.py::test_red | why | 7\n",
        "test_it.py::test_red | pytest | | 7\n",
        "test_it.py::test_red | | why | 7\n",
        "test_it.py::test_red | pytest | why | 7 | more\n",
        "test_it.py::test_red\n",
        "test_it.py::test_red | pytest | why | 7\n" * 2,
        "".join(f"test_it.py::test_each[{n}] | pytest | why | 7\n" for n in range(4)),
    ],
    ids=[
        "no such test",
        "no issue",
        "no command",
        "nothing seen",
        "empty command",
        "extra field",
        "only a test",
        "listed twice",
        "four entries",
    ],
)
def test_an_invalid_list_fails_the_run(ci, listed):
    assert ci(GREEN + RED + EACH, listed)[0] not in (0, 1)


def continuous_integration_flags():
    """The options that .ci/run passes to pytest."""
    script = (HERE.parent / ".ci" / "run").read_text()
    return shlex.split(re.search(r"FLAGS='([^']*)'", script)[1])


@pytest.mark.parametrize(
    "listed", [None, "tests/test_it.py::test_red | pytest | assertion failed | 7\n"]
)
def test_the_flags_of_ci_set_the_known_red_option(tmp_path, listed):
    tests = tmp_path / "tests"
    tests.mkdir()
    for helper in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / helper, tests)
    (tests / "test_it.py").write_text(GREEN + (RED if listed else ""))
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\ntestpaths = ['tests']\n")
    if listed:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", *continuous_integration_flags()]
    completed = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=120)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert ("KNOWN RED" in completed.stdout) == bool(listed)
