import pytest

from camphorchute.entry.open_connections import OpenConnections

MAX_CONNECTIONS = 3


class Connection:
    def __init__(self, name, closed):
        self.name, self.closed = name, closed

    def give_up(self):
        self.closed.append(self.name)


class Site:
    def __init__(self):
        self.closed, self.counted = [], []
        self.connections = OpenConnections(MAX_CONNECTIONS, self.counted.append)
        self.by_name = {}

    def act(self, action):
        """Carry out an action such as ``add a``."""
        method, _, name = action.partition(" ")
        connection = self.by_name.setdefault(name, Connection(name, self.closed))
        getattr(self.connections, method)(connection)


# A crowd of connections that sent nothing, or no whole head, took all that a process may open.
@pytest.mark.parametrize(
    ("actions", "closed", "open_count"),
    [
        (["add a", "add b", "add c"], [], 3),
        (["add a", "add b", "add c", "add d"], ["a"], 3),
        (["add a", "begin_request a", "add b", "add c", "add d"], ["b"], 3),
        (["add a", "begin_request a", "end_request a", "add b", "add c", "add d"], ["a"], 3),
        (["add a", "add b", "begin_request a", "end_request a", "add c", "add d"], ["b"], 3),
        (["add a", "add b", "remove a", "add c", "add d"], [], 3),
        (["add a", "add b", "add c", "add d", "end_request a", "add e"], ["a", "b"], 3),
        ([f"{m} {n}" for n in "abcd" for m in ("add", "begin_request")], [], 4),
    ],
)
def test_connection_that_waits_for_its_caller_longest_is_closed(actions, closed, open_count):
    site = Site()
    for action in actions:
        site.act(action)
    assert (site.closed, len(site.connections)) == (closed, open_count)
    assert site.counted == ["http.connection_given_up"] * len(closed)
