"""Steps that check the dependency rules of the source tree."""

import ast
from pathlib import Path

from behave import then, when

CORE = Path(__file__).resolve().parents[2] / "src" / "lavenderhook" / "_internal" / "core"
FORBIDDEN_TOP_LEVEL = {
    "gevent",
    "geventhttpclient",
    "grpc",
    "loguru",
    "os",
    "secrets",
    "socket",
    "ssl",
    "subprocess",
    "threading",
    "time",
    "uuid",
}
FORBIDDEN_RELATIVE = {"adapters", "daemon", "cli", "ports"}


def collect_imports(path):
    """Yield the (module, level) of every import statement in a source file."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name, 0
        elif isinstance(node, ast.ImportFrom):
            yield node.module or "", node.level


@when("the imports of the core are collected")
def step_collect(context):
    context.imports = [
        (path.name, module, level)
        for path in sorted(CORE.rglob("*.py"))
        for module, level in collect_imports(path)
    ]


@then("none of them is an adapter, a clock, an I/O module or a source of randomness")
def step_check(context):
    assert any(CORE.glob("*.py")), "no core module was found"
    bad = [
        entry
        for entry in context.imports
        if (entry[2] == 0 and entry[1].split(".")[0] in FORBIDDEN_TOP_LEVEL)
        or (entry[2] > 0 and FORBIDDEN_RELATIVE & set(entry[1].split(".")))
    ]
    assert not bad, f"forbidden imports in the core: {bad}"
