"""Steps with changes of the configuration."""

import json
import time

import gevent
from behave import then, when

NESTING = 100_000
UNREADABLE = {
    "not JSON": b'{"version":2,',
    "deeply nested": b'{"version":2,"more":' + b"[" * NESTING + b"]" * NESTING + b',"routes":[]}',
    "without routes": b'{"version":2,"routes":null}',
}


@when("the store's mode towards instances {first:d} and {second:d} becomes {mode:w}")
def step_turn_away(context, first, second, mode):
    for index in (first, second):
        context.cluster.entries[index].store_endpoint.mode = mode


@when('version {version:d} adds "{prefix}" and a route "{odd}" whose {field:w} is {value}')
def step_odd_route(context, version, prefix, odd, field, value):
    platform = context.cluster.platform
    routes = platform.make_routes(["/jobs/", prefix, odd])
    encoded = [json.dumps(route) for route in routes[:2]]
    rest = json.dumps({name: part for name, part in routes[2].items() if name != field})
    encoded.append(f'{rest[:-1]},"{field}":{value}}}')
    text = f'{{"version":{version},"routes":[{",".join(encoded)}]}}'
    platform.store.put("op", "config", text.encode())


@when("version 2 of the configuration is {content}")
def step_unreadable_version(context, content):
    context.cluster.platform.store.put("op", "config", UNREADABLE[content])


@when('a submission to "{prefix}" is sent to instance {index:d}')
def step_submit_to(context, prefix, index):
    steps = [{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 100}]
    context.answer = context.cluster.submit(index, "00000000000000c1", steps, prefix)


@then('every instance answers a GET of "{path}" with {status:d} within {seconds:f} seconds')
def step_all_answer(context, path, status, seconds):
    until = time.monotonic() + seconds
    waiting = set(range(len(context.cluster.entries)))
    found = {}
    while waiting and time.monotonic() < until:
        for index in sorted(waiting):
            found[index] = context.cluster.call(index, "GET", path).status
            if found[index] == status:
                waiting.discard(index)
        gevent.sleep(0.05)
    assert not waiting, found


@then('a GET of "{path}" is refused with {status:d} and a Retry-After')
def step_refused_read(context, path, status):
    answer = context.cluster.call(0, "GET", path)
    assert answer.status == status, answer
    assert int(answer.get_header("retry-after") or 0) >= 1, answer
