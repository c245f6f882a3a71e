"""Test that the modules of the package have no circular imports."""

from __future__ import annotations

import ast
import graphlib
import pathlib
import unittest

_PACKAGE = pathlib.Path(__file__).parents[1] / "merlintrestle"


def _read_imports(path: pathlib.Path) -> set[str]:
    """Returns the modules of the package that a module imports.

    Imports for annotations count, as a reader of one module has to read the
    other as well.
    """
    imported = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module.split(".")[0] == "merlintrestle":
            imported |= {f"{node.module}.{alias.name}" for alias in node.names}
    return imported


class ImportsTest(unittest.TestCase):
    def test_there_is_no_circular_import(self) -> None:
        modules = {}
        for path in _PACKAGE.rglob("*.py"):
            parts = path.relative_to(_PACKAGE.parent).with_suffix("").parts
            modules[".".join(parts)] = _read_imports(path)
        try:
            graphlib.TopologicalSorter(modules).prepare()
        except graphlib.CycleError as error:
            self.fail(" -> ".join(error.args[1]))
