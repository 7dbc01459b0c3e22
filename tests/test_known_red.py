"""What CI does with KNOWN-RED.txt, on runs of pytest of its own."""

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
    """Runs these tests with this list: exit status and what was printed."""

    def run(tests, listed=None):
        (tmp_path / "test_it.py").write_text(tests)
        (tmp_path / "conftest.py").write_text(
            f"import sys\nsys.path.insert(0, {str(HERE)!r})\nimport known_red\n"
            "def pytest_configure(config):\n    known_red.register(config, 'KNOWN-RED.txt')\n"
        )
        if listed is not None:
            (tmp_path / "KNOWN-RED.txt").write_text(listed)
        command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
        ended = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=120)
        return ended.returncode, ended.stdout + ended.stderr

    return run


@pytest.mark.parametrize("listed", [None, "", "# nothing\n\n"])
def test_without_a_line_every_test_must_pass(ci, listed):
    assert ci(GREEN, listed)[0] == 0
    assert ci(GREEN + RED, listed)[0] == 1


def test_a_listed_test_that_fails_is_passed_over_and_printed_and_no_other(ci):
    line = "test_it.py::test_red | pytest test_it.py, seed 1 | the sky fell | 7\n"
    code, said = ci(GREEN + RED, line)
    assert (
        code == 0
        and "KNOWN RED test_it.py::test_red (failed): the sky fell "
        "(issue 7; pytest test_it.py, seed 1)"
        in said
    )
    assert ci(RED + RED.replace("red", "redder"), line)[0] == 1


def test_a_listed_test_that_fails_in_its_set_up_is_passed_over_too(ci):
    broken = (
        "import pytest\n@pytest.fixture\ndef it():\n    assert False\ndef test_red(it):\n    pass\n"
    )
    code, said = ci(broken, "test_it.py::test_red | pytest | no ground | 7\n")
    assert code == 0 and "(failed)" in said


def test_a_listed_test_that_passes_is_told(ci):
    code, said = ci(GREEN, "test_it.py::test_green | pytest | it failed once | 7\n")
    assert code == 0 and "(passed: remove its entry)" in said


def test_a_line_means_all_values_of_a_test_or_the_one_it_names(ci):
    code, said = ci(EACH, "test_it.py::test_each | pytest | half of it | 7\n")
    assert code == 0 and "(failed and passed)" in said
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
        "a field too many",
        "a name alone",
        "twice",
        "four entries",
    ],
)
def test_a_list_that_cannot_be_used_fails(ci, listed):
    assert ci(GREEN + RED + EACH, listed)[0] not in (0, 1)


def continuous_integration_flags():
    """The options that .ci/run hands to pytest."""
    script = (HERE.parent / ".ci" / "run").read_text()
    return shlex.split(re.search(r"FLAGS='([^']*)'", script)[1])


@pytest.mark.parametrize(
    "listed", [None, "tests/test_it.py::test_red | pytest | the sky fell | 7\n"]
)
def test_the_flags_of_ci_reach_the_project_s_own_option(tmp_path, listed):
    tests = tmp_path / "tests"
    tests.mkdir()
    for helper in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / helper, tests)
    (tests / "test_it.py").write_text(GREEN + (RED if listed else ""))
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\ntestpaths = ['tests']\n")
    if listed:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", *continuous_integration_flags()]
    ended = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=120)
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert ("KNOWN RED" in ended.stdout) == bool(listed)
