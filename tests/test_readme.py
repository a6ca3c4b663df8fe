"""README's example runs as written."""

from __future__ import annotations

import re
from pathlib import Path


def test_the_readme_example_runs_as_written() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    assert "assert " in example
    exec(compile(example, "README.md", "exec"), {})
