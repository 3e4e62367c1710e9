"""State machine over the decisions of several candidates for leadership.

Claims, reads, lost answers, orders, records and resignations of three hosts
happen in any order. The log and the endpoint are models of what the platform
promises: conditional appends, epochs of producers and fencing tokens.
"""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
from laburnumgate_core import clock
from laburnumgate_placer import leadership
from laburnumgate_placer import ports
import orjson

_HOSTS = st.integers(0, 2)


class HandOver(stateful.RuleBasedStateMachine):
    """Three hosts, one log, one endpoint."""

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock(1_000)
        self.hosts = [
            leadership.Leadership(None, self.clock, f"h{n}", 0, True)
            for n in range(3)
        ]
        self.log: list[bytes] = []
        self.read_to = [0, 0, 0]
        self.endpoint_token = 0
        self.orders: list[tuple[int, str]] = []
        self.epoch = 0
        self.recorded: list[tuple[int, str]] = []
        self.resigned: set[int] = set()

    @stateful.rule(number=_HOSTS, answered=st.booleans())
    def claim(self, number, answered):
        """Claims if the topic ends where the host has read to."""
        host = self.hosts[number]
        if host.own_claim is not None or self.read_to[number] != len(self.log):
            return
        offset = len(self.log)
        self.log.append(orjson.dumps(["claim", f"h{number}", 0]))
        if answered:
            claim = leadership.Claim(f"h{number}", offset + 1)
            host._take_leadership(claim, self.clock.now_ms())

    @stateful.rule(number=_HOSTS, count=st.integers(1, 4))
    def read(self, number, count):
        """Applies the next records of the topic."""
        for _ in range(count):
            offset = self.read_to[number]
            if offset == len(self.log):
                return
            entry = ports.Entry(offset, "", self.log[offset])
            self.hosts[number]._apply(entry)
            self.read_to[number] += 1

    @stateful.rule(number=_HOSTS)
    def heartbeat(self, number):
        """Appends a heartbeat, also if a later claim is not read yet."""
        own = self.hosts[number].own_claim
        if own is not None:
            self.log.append(orjson.dumps(["beat", own.host, own.token]))

    @stateful.rule(number=_HOSTS)
    def resign(self, number):
        """Gives up leadership and says so."""
        own = self.hosts[number].own_claim
        if own is None:
            return
        self.hosts[number].step_down("test")
        self.resigned.add(own.token)
        self.log.append(orjson.dumps(["resign", own.host, own.token]))

    @stateful.rule(number=_HOSTS)
    def order(self, number):
        """Sends an order, which the endpoint refuses for a lower token."""
        own = self.hosts[number].own_claim
        if own is None:
            return
        if own.token < self.endpoint_token:
            self.hosts[number].step_down("refused")
            return
        self.endpoint_token = own.token
        self.orders.append((own.token, own.host))

    @stateful.rule(number=_HOSTS)
    def record(self, number):
        """Appends a record, which the log refuses for a lower epoch."""
        own = self.hosts[number].own_claim
        if own is None:
            return
        if own.token < self.epoch:
            self.hosts[number].step_down("fenced")
            return
        self.epoch = own.token
        self.recorded.append((own.token, own.host))

    @stateful.rule(by_ms=st.integers(1, 2_000))
    def wait(self, by_ms):
        """Lets time pass."""
        self.clock.advance(by_ms)

    @stateful.invariant()
    def leaders_take_no_turns(self):
        """No token is used by two hosts, and none after a higher one."""
        for done in (self.orders, self.recorded):
            assert [token for token, _ in done] == sorted(t for t, _ in done)
            assert len({token for token, _ in done}) == len(set(done))

    @stateful.invariant()
    def own_claims_differ(self):
        """Two hosts never hold the same token."""
        tokens = [h.own_claim.token for h in self.hosts if h.own_claim]
        assert len(tokens) == len(set(tokens))

    @stateful.invariant()
    def no_claim_is_taken_again(self):
        """A term that has ended does not begin again under its token."""
        for host in self.hosts:
            if host.own_claim is not None:
                assert host.own_claim.token not in self.resigned

    @stateful.invariant()
    def a_host_that_has_read_a_later_claim_does_not_lead(self):
        """A replaced leader stops as soon as it can know."""
        for number, host in enumerate(self.hosts):
            if host.own_claim is None:
                continue
            for offset in range(host.own_claim.token, self.read_to[number]):
                assert orjson.loads(self.log[offset])[0] != "claim"

    def teardown(self):
        """Once all have read everything, at most one leads."""
        for number in range(3):
            self.read(number, len(self.log) + 1)
        assert sum(h.own_claim is not None for h in self.hosts) <= 1


HandOver.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
TestHandOver = HandOver.TestCase
