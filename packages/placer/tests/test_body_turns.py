"""Tests that the decoding of bodies is spread over turns of the loop."""

import asyncio
import collections

import builders
from laburnumgate_placer import body_turns

_KIB = 1 << 10


def _play(sizes, cancelled=()):
    """Returns the sizes that were decoded in each turn of the event loop."""
    sizes_by_turn = collections.defaultdict(list)
    turn = 0

    async def decode(turns, size):
        await turns.wait(size)
        sizes_by_turn[turn].append(size)

    async def play():
        nonlocal turn
        turns = body_turns.BodyTurns()
        tasks = [asyncio.create_task(decode(turns, size)) for size in sizes]
        await asyncio.sleep(0)
        for number in cancelled:
            tasks[number].cancel()
        while not all(task.done() for task in tasks):
            turn += 1
            await asyncio.sleep(0)

    builders.run(play())
    return [sizes_by_turn[turn] for turn in sorted(sizes_by_turn)]


def test_one_large_body_is_decoded_in_a_turn():
    """Guards against a loop that stands still while many are decoded."""
    assert _play([200 * _KIB] * 5) == [[200 * _KIB]] * 5


def test_small_bodies_share_a_turn():
    """Guards against a burst of small jobs that is slowed down."""
    rounds = _play([300] * 100)
    assert [len(sizes) for sizes in rounds] == [54, 46]


def test_small_bodies_do_not_wait_for_large_ones():
    """Guards against ordinary callers behind a crowd of large bodies."""
    rounds = _play([200 * _KIB] * 5 + [300])
    assert rounds[0] == [200 * _KIB, 300]


def test_interrupted_requests_leave_their_turn_to_others():
    """Guards against bodies that wait for one that is never decoded."""
    assert _play([200 * _KIB] * 5, cancelled=(1, 3, 4)) == [[200 * _KIB]] * 2


def test_bodies_are_decoded_in_the_order_of_their_arrival():
    """Guards against a body that later ones overtake again and again."""
    sizes = [9_000, 9_000, 100, 9_000, 100]
    assert _play(sizes) == [[9_000], [9_000, 100], [9_000, 100]]
