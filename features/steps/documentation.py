"""Steps that compare pages and examples with the code."""

import contextlib
import io
import json
import re
import tomllib

import msgspec
from behave import then

from demo.cluster import ROOT
from lavenderhook import errors
from lavenderhook._internal.cli import application
from lavenderhook._internal.core.state import CoreParameters
from lavenderhook._internal.daemon import settings
from lavenderhook._internal.daemon.main import run

SECTIONS = {
    "instance": settings.InstanceSettings,
    "platform": settings.PlatformSettings,
    "peers": settings.PeerSettings,
    "limits": settings.LimitSettings,
    "logging": settings.LoggingSettings,
    "core": CoreParameters,
}
NAMED_SETTINGS = {"operators.<name>", "callers.<name>.token", "callers.<name>.team"}
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
SOURCES = sorted((ROOT / "src").rglob("*.py"))


def read_page(name):
    """Return the text of a page."""
    return (ROOT / name).read_text(encoding="utf-8")


def list_settings():
    """Yield the path and the documented default of every setting."""
    for section, structure in SECTIONS.items():
        for field in msgspec.structs.fields(structure):
            default = field.default
            if default is msgspec.NODEFAULT:
                yield f"{section}.{field.name}", "required"
            else:
                value = list(default) if isinstance(default, tuple) else default
                yield f"{section}.{field.name}", f"`{json.dumps(value)}`"


def read_table(page, heading):
    """Return the rows of the first table after a heading, as lists of cells."""
    text = read_page(page).split(f"{heading}\n", 1)[1].split("\n#", 1)[0]
    rows = [line for line in text.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in rows[2:]]


@then("{path} passes the check of the daemon")
def step_valid(context, path):
    context.settings_path = ROOT / path
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        status = run(["--config", str(context.settings_path), "--check"])
    assert status == 0, output.getvalue()


@then("it has every setting of the daemon, each with a comment above")
def step_complete(context):
    text = context.settings_path.read_text(encoding="utf-8")
    values = tomllib.loads(text)
    present = {f"{s}.{key}" for s in SECTIONS for key in values[s]}
    assert present == {name for name, _ in list_settings()}
    assert values["operators"] and values["callers"]
    for section, structure in SECTIONS.items():
        part = text.split(f"[{section}]\n", 1)[1]
        for field in msgspec.structs.fields(structure):
            assert re.search(rf"^# .*\n{field.name} = ", part, re.MULTILINE), field.name


@then("docs/operators.md lists every setting with its default and no other")
def step_settings_table(context):
    rows = {row[0].strip("`"): row[1] for row in read_table("docs/operators.md", "## Settings")}
    named = {name for name in rows if "<name>" in name}
    assert named == NAMED_SETTINGS, named
    listed = {name: default for name, default in rows.items() if name not in named}
    assert listed == dict(list_settings()), set(listed.items()) ^ set(list_settings())


@then("every log event and metric in docs/operators.md occurs in the code")
def step_names(context):
    code = "\n".join(path.read_text(encoding="utf-8") for path in SOURCES)
    events = [e for row in read_table("docs/operators.md", "### Log") for e in row[0].split(", ")]
    metrics = re.findall(
        r"lavenderhook_\w+", "\n".join(r[0] for r in read_table("docs/operators.md", "### Metrics"))
    )
    assert len(events) > 10 and len(metrics) > 10
    for name in [e.strip("`") for e in events] + [m.removeprefix("lavenderhook_") for m in metrics]:
        assert f'"{name}"' in code, name


@then("every exit code of a failure is in docs/operators.md")
def step_exit_codes(context):
    listed = {int(row[0]) for row in read_table("docs/operators.md", "### Exit codes")}
    used = {
        error_type.exit_code
        for error_type in vars(errors).values()
        if isinstance(error_type, type) and issubclass(error_type, errors.LavenderhookError)
    }
    assert listed == used | {0}, listed ^ used


@then("every command of the tool in the pages exists")
def step_commands(context):
    known = {command.name for command in application.COMMANDS} | {"COMMAND"}
    text = "\n".join(path.read_text(encoding="utf-8") for path in PAGES)
    used = set(re.findall(r"(?:^    |`)lavenderhook ([a-zA-Z]+)", text, re.MULTILINE))
    assert len(used) > 8 and used <= known, used - known


@then("every link between the pages leads to a file")
def step_links(context):
    for page in PAGES:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text(encoding="utf-8")):
            assert (page.parent / target).exists(), (page.name, target)
