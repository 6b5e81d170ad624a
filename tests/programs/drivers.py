"""A test driver that applies decisions and records them in a journal."""

from vanillayoke.core import ids
from vanillayoke.programs import checks
from vanillayoke.programs import decisions
from vanillayoke.programs import endings
from vanillayoke.programs import opening
from vanillayoke.programs import records
from vanillayoke.programs import replay

NOW = 5000.0
DEADLINE = 9000.0
BUDGET = records.Budget(tokens=1000, calls=40, seconds=400.0, money=1000)
RESERVED = records.Spend(tokens=100, calls=1, seconds=10.0, money=10)
SPENT = records.Spend(tokens=60, calls=1, seconds=2.5, money=6)
ALL_SHARDS = range(ids.SHARD_COUNT)


def make_opened(key='open', client='tkacik', epoch=1, **changes):
    fields = {
        'client': client,
        'agent': 'board',
        'key': key,
        'fingerprint': 'f-open',
        'budget': BUDGET,
        'deadline': DEADLINE,
        'urgent': False,
        'opened_at': NOW,
        'program': ids.derive_program_id(client, key),
        'epoch': epoch,
    }
    return records.ProgramOpened(**{**fields, **changes})


def make_request(key, name='', **changes):
    """Return a call of the tool ``name``, or of the model if it is empty."""
    kind = records.CallKind.TOOL if name else records.CallKind.MODEL
    fields = {
        'kind': kind,
        'key': key,
        'fingerprint': f'f-{key}',
        'idempotent': True,
        'name': name,
        'messages': () if name else (records.Message('user', key),),
        'reserved': RESERVED,
    }
    return checks.CallProposal(**{**fields, **changes})


def make_answer(call, tools=(), text='yes'):
    """Return an answer; ``tools`` are the requests of a model's answer."""
    if call.kind is records.CallKind.MODEL:
        return records.Message('assistant', text, tool_calls=tuple(tools))
    return records.Message('tool', 'done', tool_call_id=call.tool_call_id)


class Driver:
    """Applies decisions and stores each one's records as a segment."""

    def __init__(self):
        self.programs = {}
        self.segments = []
        self.epoch = 1

    def apply(self, decided):
        """Apply and journal records; return the decision unchanged."""
        if isinstance(decided, list):
            for record in decided:
                replay.apply_record(self.programs, record)
            self.segments.append(
                records.Segment('i', len(self.segments), tuple(decided))
            )
        return decided

    def list_ancestors(self, program):
        return opening.list_ancestors(self.programs, program.parent)

    def open(self, key='open', parent=None, **changes):
        ancestors = ()
        if parent is not None:
            ancestors = (parent, *self.list_ancestors(parent))
            changes['parent'] = parent.id
            changes['program'] = ids.derive_child_id(parent.id, key)
        opened = make_opened(key, epoch=self.epoch, **changes)
        existing = self.programs.get(opened.program)
        decided = self.apply(
            opening.open_program(existing, opened, ancestors, NOW)
        )
        return self.programs.get(opened.program, decided)

    def accept(self, program, key, name='', now=NOW, **changes):
        request = make_request(key, name, **changes)
        ancestors = self.list_ancestors(program)
        return self.apply(
            decisions.accept_call(program, ancestors, request, self.epoch, now)
        )

    def intend(self, program, target='t1', earlier_not_run=False):
        call = program.running
        return self.apply(
            decisions.intend_call(
                program,
                call.number,
                call.attempts + 1,
                target,
                self.epoch,
                earlier_not_run,
            )
        )

    def answer(self, program, number=None, tools=(), spent=SPENT, text='yes'):
        call = program.find_call(number or len(program.calls))
        return self.apply(
            decisions.answer_call(
                program,
                self.list_ancestors(program),
                call.number,
                make_answer(call, tools, text),
                'stop',
                spent,
                call.target or 't1',
                self.epoch,
            )
        )

    def fail(self, program, failure, number=None, **options):
        return self.apply(
            decisions.fail_call(
                program,
                self.list_ancestors(program),
                number or len(program.calls),
                failure,
                self.epoch,
                **options,
            )
        )

    def run(self, program, key, name='', tools=(), **changes):
        """Accept, send and answer a call."""
        self.accept(program, key, name, **changes)
        self.intend(program)
        self.answer(program, tools=tools)

    def end(self, program, reason='ended'):
        return self.apply(
            endings.end_tree(self.programs, program, reason, self.epoch, NOW)
        )

    def take_over(self, lost=0):
        """Replay all but the ``lost`` last segments in the next epoch."""
        if lost:
            del self.segments[-lost:]
        self.programs = replay.replay(self.segments, ALL_SHARDS)
        self.epoch += 1
        for program in list(self.programs.values()):
            ancestors = self.list_ancestors(program)
            self.apply(endings.recover_program(program, ancestors, self.epoch))
