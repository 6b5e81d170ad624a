"""The scheduler's state of programs and their sub-agents."""


class Member:
    """One program of a tree: the root or a sub-agent.

    ``target`` is the one that last ran it, ``tokens`` the length of its
    conversation there and ``cached`` the part assumed to be in the target's
    cache. ``exported`` means that this part was exported. ``event_gaps`` is
    the target's count of event gaps when ``cached`` was last updated, and
    ``touched_at`` the time when a call last started or ended.
    """

    __slots__ = (
        'program', 'tree', 'target', 'tokens', 'cached', 'exported', 'calls',
        'tool', 'paused_at', 'pauses', 'event_gaps', 'touched_at',
    )  # fmt: skip

    def __init__(self, program: str, tree: 'Tree') -> None:
        self.program = program
        self.tree = tree
        self.target = ''
        self.tokens = 0
        self.cached = 0
        self.exported = False
        self.calls = 0
        self.tool = ''
        self.paused_at: float | None = None
        self.pauses = 0
        self.event_gaps = 0
        self.touched_at = 0.0


class Tree:
    """A root program with its sub-agents, which are admitted together."""

    __slots__ = ('root', 'client', 'admitted', 'members')

    def __init__(self, root: str, client: str) -> None:
        self.root = root
        self.client = client
        self.admitted = False
        self.members: dict[str, Member] = {}


class Forest:
    """The trees of all running programs of one instance."""

    def __init__(self) -> None:
        self._trees: dict[str, Tree] = {}
        self._members: dict[str, Member] = {}

    def open(self, program: str, root: str, client: str) -> Member:
        """Return a program's member, creating it if necessary."""
        member = self._members.get(program)
        if member is not None:
            return member
        tree = self._trees.get(root)
        if tree is None:
            tree = self._trees[root] = Tree(root, client)
        member = Member(program, tree)
        tree.members[program] = member
        self._members[program] = member
        return member

    def has_tree(self, root: str) -> bool:
        """Return whether a member of a root program's tree is known."""
        return root in self._trees

    def get(self, program: str) -> Member | None:
        """Return a program's member, if it is known."""
        return self._members.get(program)

    def list_members(self) -> list[Member]:
        """Return all members of all trees."""
        return list(self._members.values())

    def close(self, program: str) -> Member | None:
        """Remove a program and return its member, if it is known."""
        member = self._members.pop(program, None)
        if member is None:
            return None
        tree = member.tree
        del tree.members[program]
        if not tree.members:
            del self._trees[tree.root]
        return member

    def __len__(self) -> int:
        return len(self._members)
