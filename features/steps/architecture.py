"""Steps that check the dependency rules of the source tree."""

import ast
import re
import subprocess
import sys
from pathlib import Path

from behave import then, when

PACKAGE = Path(__file__).resolve().parents[2] / "src" / "lavenderhook"
CORE = PACKAGE / "_internal" / "core"
QUEUES = PACKAGE / "_internal" / "queueing"
PLATFORM_PACKAGES = ("_internal/queueing", "_internal/instance", "_internal/ports", "platform")
PLATFORM_NAMES = re.compile(
    r"rows-tx|rows-feed|rows-get|run-start|run-stop|X-Fencing-Token|X-Expected-Instance"
    r"|slackFactor|checkpointIntervalS|schemaVersion|expectedRevision"
)
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


@when("the imports of the queueing package are collected")
def step_collect_queues(context):
    context.imports = [
        (path.name, module, level)
        for path in sorted(QUEUES.rglob("*.py"))
        for module, level in collect_imports(path)
    ]


def collect_edges(path):
    """Return the modules of the package that a source file imports, as paths."""
    edges = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        base = path.parent
        for _ in range(node.level - 1):
            base = base.parent
        target = base.joinpath(*(node.module or "").split(".")) if node.module else base
        candidates = [target.with_suffix(".py")]
        candidates += [(target / alias.name).with_suffix(".py") for alias in node.names]
        edges.update(candidate for candidate in candidates if candidate.is_file())
    return edges


@when("the imports among the packages of the platform are collected")
def step_collect_edges(context):
    files = [path for name in PLATFORM_PACKAGES for path in sorted((PACKAGE / name).glob("*.py"))]
    context.edges = {path: collect_edges(path) & set(files) for path in files}


@then("there are no circular imports")
def step_no_circular_imports(context):
    remaining = dict(context.edges)
    assert len(remaining) > 20, "the packages were not found"
    while True:
        leaves = [path for path, edges in remaining.items() if not edges & remaining.keys()]
        if not leaves:
            break
        for path in leaves:
            del remaining[path]
    assert not remaining, sorted(str(path.relative_to(PACKAGE)) for path in remaining)


@when("the sources outside the adapter are searched for the platform's names")
def step_search(context):
    context.occurrences = [
        (str(path.relative_to(PACKAGE)), match.group())
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.parent != PACKAGE / "platform"
        for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
    ]


@then("none is found")
def step_none_found(context):
    assert not context.occurrences, context.occurrences


@when("the program of the platform is imported in a new interpreter")
def step_import(context):
    code = "import sys, lavenderhook.platform.program; print(*sys.modules)"
    output = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True
    )
    context.loaded = set(output.stdout.split())


@then("these modules are not loaded")
def step_not_loaded(context):
    loaded = [row["module"] for row in context.table if row["module"] in context.loaded]
    assert not loaded, loaded


@then("none of them is an adapter, a clock, an I/O module or a source of randomness")
def step_check(context):
    assert any(CORE.glob("*.py")), "no core module was found"
    forbidden = [
        entry
        for entry in context.imports
        if (entry[2] == 0 and entry[1].split(".")[0] in FORBIDDEN_TOP_LEVEL)
        or (entry[2] > 0 and FORBIDDEN_RELATIVE & set(entry[1].split(".")))
    ]
    assert not forbidden, f"forbidden imports in the core: {forbidden}"
