"""The README's example runs and prints what it says."""

import re
from pathlib import Path


def test_the_example_runs(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    exec(re.search(r"```python\n(.*?)```", text, re.S).group(1), {})
    assert capsys.readouterr().out.strip() == "[Answer(query=10, complete=True)]"
