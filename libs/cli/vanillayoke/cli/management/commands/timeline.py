"""Write a timeline of the events of all instances."""

import json
import typing

from absl import flags

from vanillayoke.cli import access
from vanillayoke.cli import commands
from vanillayoke.cli import exits
from vanillayoke.cli import instances
from vanillayoke.cli import operators
from vanillayoke.cli import queries
from vanillayoke.core import timeline
from vanillayoke.core import timeline_views

ARGUMENTS = ()
_FILTERS = {
    'program': 'Only events of this program and its sub-agents.',
    'target': 'Only events of this target.',
    'instance': 'Only events of this instance.',
}

Events = list[timeline.EventDump]


def _render_trace(merged: Events) -> str:
    trace = timeline_views.render_chrome_trace(merged)
    return timeline_views.encode_trace(trace)


def _render_json(merged: Events) -> str:
    return json.dumps({'events': merged}, ensure_ascii=False, indent=2)


_RENDERERS: dict[str, typing.Callable[[Events], str]] = {
    'text': timeline_views.render_text,
    'html': timeline_views.render_html,
    'trace': _render_trace,
    'json': _render_json,
}


def add_flags(values: flags.FlagValues) -> None:
    """Define this command's flags."""
    queries.add_flags(values)
    for name, text in _FILTERS.items():
        flags.DEFINE_string(name, '', text, flag_values=values)
    flags.DEFINE_enum(
        'format',
        'text',
        list(_RENDERERS),
        'text, a self-contained html page, a Chrome trace, or json.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'output',
        '',
        'File to write; default: the standard output.',
        flag_values=values,
    )


async def run(invocation: commands.Invocation) -> int:
    """Collect events from all instances, merge and write them."""
    options = access.read_access(invocation)
    if options is None:
        return exits.Exit.BAD_INPUT
    arguments = {name: invocation.flags[name].value for name in _FILTERS}
    async with options.open_client() as client:
        outcomes = await instances.query_instances(
            client, options, 'timeline', arguments
        )
    if not isinstance(outcomes, instances.InstanceResponses):
        return queries.report_failure(invocation, outcomes)
    status = _write(invocation, outcomes.responses.values(), arguments)
    return max(status, queries.report_failures(invocation, outcomes.failed))


def _write(
    invocation: commands.Invocation,
    responses: typing.Iterable[operators.Response],
    arguments: dict[str, str],
) -> int:
    format_name = 'json' if invocation.flags.json else invocation.flags.format
    try:
        event_filter = timeline.Filter(**arguments)
        merged = timeline.merge_timelines(responses, event_filter)
        text = _RENDERERS[format_name](merged)
    except queries.FORMAT_ERRORS as error:
        return queries.report_unexpected_format(invocation, error)
    if not invocation.flags.output:
        invocation.print(text.rstrip('\n'))
        return exits.Exit.OK
    try:
        with open(invocation.flags.output, 'w', encoding='utf-8') as stream:
            stream.write(text)
    except OSError as error:
        invocation.warn(f'--output: {error}')
        return exits.Exit.BAD_INPUT
    return exits.Exit.OK
