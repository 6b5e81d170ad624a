"""Descriptions of all settings fields, for the schemas and the docs."""

from vanillayoke.settings import configuration
from vanillayoke.settings import process

_CONFIGURATION: dict[type, dict[str, str]] = {
    configuration.Configuration: {
        'agents': 'Agents by name.',
        'tools': 'Tools by name, as models call them.',
        'targets': 'Targets (engines and services) by name.',
        'clients': 'Clients by name.',
        'models': 'Models by name.',
        'policy': 'How calls are scheduled.',
    },
    configuration.AgentSettings: {
        'model': 'The model that the agent uses.',
        'instructions': 'The system message of its conversations.',
        'tools': 'Tools that it may call.',
        'children': 'Agents that it may start as sub-agents.',
        'max_tokens': 'Maximum number of tokens of one answer.',
        'call_timeout': 'Seconds for one model call.',
        'progress_timeout': 'Seconds without output after which a model call '
        'counts as hung.',
        'budget': 'Limits on what one program of this agent may use.',
    },
    configuration.BudgetSettings: {
        'tokens': 'Prompt and answer tokens of all model calls.',
        'calls': 'Model and tool calls.',
        'seconds': 'Seconds of model and tool time.',
        'money': "Millionths of the currency's unit.",
    },
    configuration.ToolSettings: {
        'service': 'The service group that runs it.',
        'path': 'URL path on the service, beginning with /.',
        'idempotent': 'Whether a call may be repeated. Where false, a call '
        'is sent at most once.',
        'timeout': 'Seconds for one call.',
        'description': 'Description of the tool, given to the model.',
        'parameters': 'JSON Schema of its arguments, given to the model.',
        'reserved_money': 'Millionths reserved from the budget for a call.',
    },
    configuration.TargetSettings: {
        'kind': 'Engine or service.',
        'address': 'IP:PORT.',
        'zone': 'Its availability zone.',
        'region': 'The region of the zone.',
        'group': 'The service group; services only.',
        'fencing': 'Whether it refuses orders of an old epoch.',
        'query': 'Whether the service can report the outcome of a call.',
        'signed_orders': 'Whether it verifies the signature of orders.',
        'cache_tokens': 'Prefix cache of an engine, in tokens.',
        'slots': 'Calls that it runs at the same time.',
    },
    configuration.ClientSettings: {
        'key_hashes': 'SHA-256 of each key in hex; several during a change '
        'of keys.',
        'agents': 'Agents that it may use; empty for all.',
        'weight': 'Its share of capacity, relative to other clients.',
        'calls_per_second': 'Maximum calls per second over all instances.',
        'running_programs': 'Maximum number of open programs over all '
        'instances.',
    },
    configuration.ModelSettings: {
        'version': 'The version in force.',
        'minimum_copies': 'Engines that must have it loaded.',
        'pinned': 'Engines that must have it loaded, by name.',
        'money_per_million_tokens': 'Price in millionths.',
    },
    configuration.PolicySettings: {
        'placement': 'How a target is chosen.',
        'order': 'Which waiting call runs first.',
        'admission': 'When a program may start.',
        'cache_lifetime': 'What happens to cached prefixes during tool calls.',
        'urgent_reserve': 'Fraction of slots that only urgent calls use.',
        'retry_fraction': 'Maximum average number of retries per call.',
        'repeated_steps': 'Repeats of a step after which a program is '
        'stopped as a runaway.',
    },
}
_PROCESS: dict[type, dict[str, str]] = {
    process.ProcessSettings: {
        'instance': 'Name, location and addresses of the instance.',
        'platform': "Where the platform's services are.",
        'lease': 'Times of the lease by which it owns programs.',
        'store': "Use of the platform's store.",
        'probe': 'Probing of other instances.',
        'entry': "Bounds of the callers' interface.",
        'signing': 'The key that signs orders to targets.',
        'operator_key': 'The key of operators; empty refuses them all.',
        'timeline_events': 'Events kept for the time line.',
    },
    process.InstanceSettings: {
        'name': 'A name that no other instance has.',
        'zone': 'Its availability zone.',
        'region': 'The region of the zone.',
        'entry_address': 'IP:PORT for callers and operators.',
        'peer_address': 'IP:PORT for the other instances.',
        'entry_listen': 'IP:PORT to listen on, if not entry_address.',
        'peer_listen': 'IP:PORT to listen on, if not peer_address.',
    },
    process.PlatformSettings: {
        'table': 'Base URL of the table service.',
        'objects': 'Base URL of the object store.',
        'weights': 'Base URL of the weight store.',
        'instances': 'Base URL of the list of instances.',
        'timeout': 'Seconds for one request.',
    },
    process.LeaseSettings: {
        'time_to_live': 'Seconds that a lease holds without renewal.',
        'margin': 'Seconds before the expiry at which the holder stops '
        'acting, and after it at which others take over.',
    },
    process.StoreSettings: {
        'writes_per_second': 'Writes a second of all instances together.',
        'shortest_commit_interval': 'Seconds between two commits at least.',
        'retention': 'Seconds for which an ended program can be read.',
        'unavailable': 'What happens to calls that are not idempotent while '
        'the store is unavailable.',
    },
    process.ProbeSettings: {
        'interval': 'Seconds between two probes.',
        'timeout': 'Seconds until a probe counts as unanswered.',
        'suspicion': 'Seconds that a suspected instance has to answer.',
        'indirect': 'Number of instances asked to probe indirectly.',
    },
    process.SigningSettings: {
        'key_id': 'Name of the key; empty signs no orders.',
        'secret': 'The key itself, known to the targets.',
    },
    process.EntrySettings: {
        'largest_body': 'Bytes of a request body at most.',
        'address_lifetime': 'Seconds for which callers may cache addresses.',
        'body_timeout': 'Seconds for a request body to arrive.',
        'slow_reader_timeout': 'Seconds after which a caller that does not '
        'read is disconnected.',
        'drain_grace': 'Seconds for streams to end when stopping.',
    },
}

FIELDS: dict[type, dict[str, str]] = {**_CONFIGURATION, **_PROCESS}
FOLDER_SECTIONS = tuple(_CONFIGURATION)
PROCESS_SECTIONS = tuple(_PROCESS)
