"""The README's example runs as printed."""

import pathlib
import re


def test_the_example_runs() -> None:
    text = (pathlib.Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
