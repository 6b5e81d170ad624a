"""Tests of the order book of one target."""

from vanillayoke.cluster import orders
from vanillayoke.settings import process
from vanillayoke.testing import fixtures

_LEASE = process.LeaseSettings(time_to_live=6.0, margin=0.5)
_LONGEST = 6.0 + 0.5 + orders.ORDER_DEADLINE
_EMPTY = orders.Reported({}, {}, 'both')
_LOADED = orders.Reported({'m': '1'}, {}, 'both')


def make_book(epoch=1, checks_epoch=False):
    return orders.OrderBook.from_config(_LEASE, epoch, checks_epoch)


def make_wish(version='1', configuration=1, **changes):
    wish = orders.Wish(frozenset({'m'}), {'m': version}, configuration)
    return wish._replace(**changes)


def write(book, wish, reported, now):
    """Carry the next write out; return it."""
    action = book.decide(wish, reported, now)
    if action is not None:
        book.note_written(action.row, action.expected + 1, now)
    return action


@fixtures.fixture
def book():
    """Return a book of a target that never had an order."""
    made = make_book()
    made.note_read(None, 0)
    return made


def test_order_is_given_on_the_strength_of_an_open_row(case, book):
    action = write(book, make_wish(), _EMPTY, 0.0)
    case.assertTrue(action.row.is_open)
    step = orders.Step('load', 'm', '1')
    case.assertEqual([(1, step)], action.number_steps())
    book.note_given(0.0, accepted=True, is_settled=True)
    case.assertIsNone(book.decide(make_wish(), _EMPTY, 0.5))
    closing = write(book, make_wish(), _LOADED, 0.6)
    case.assertFalse(closing.row.is_open)
    case.assertIsNone(book.decide(make_wish(), _LOADED, 100.0))


def test_row_stays_open_while_an_order_may_be_on_its_way(case, book):
    """A successor orders at once, and a late order undoes what it did.

    The reply was lost and the state is reached all the same, by a repeated
    order. The first one may still arrive until its deadline is over.
    """
    write(book, make_wish(), _EMPTY, 0.0)
    book.note_given(0.0, accepted=False, is_settled=False)
    early = book.decide(make_wish(), _LOADED, orders.ORDER_DEADLINE - 0.1)
    case.assertIsNone(early)
    closing = book.decide(make_wish(), _LOADED, orders.ORDER_DEADLINE)
    case.assertFalse(closing.row.is_open)


def test_repeats_slow_down_and_numbers_grow(case, book):
    now = 0.0
    numbers, times = [], []
    while now < 130.0:
        action = write(book, make_wish(), _EMPTY, now)
        if action is not None:
            numbers.append(action.row.number)
            times.append(now)
            book.note_given(now, accepted=False, is_settled=True)
        now += 0.5
    case.assertEqual(list(range(1, len(times) + 1)), numbers)
    case.assertEqual([0, 1, 3, 7, 15, 31, 61, 91, 121], times)


def test_new_wish_does_not_wait_for_a_repeat(case, book):
    for now in (0.0, 1.0, 3.0):
        write(book, make_wish(), _EMPTY, now)
        book.note_given(now, accepted=False, is_settled=True)
    action = book.decide(make_wish('2', 2), _EMPTY, 3.5)
    case.assertEqual((orders.Step('load', 'm', '2'),), action.steps)


def test_open_row_of_an_earlier_giver_is_waited_out(case, book):
    """Two givers order different versions, and the older one wins.

    The first giver's order may come until its lease and the order's
    deadline are over, by the second one's clock.
    """
    action = write(book, make_wish(), _EMPTY, 0.0)
    heir = make_book(epoch=2)
    heir.note_read(action.row, 1)
    taken = write(heir, make_wish('2', 2), _EMPTY, 10.0)
    case.assertEqual(((), 2), (taken.steps, taken.row.epoch))
    wish = make_wish('2', 2)
    case.assertIsNone(heir.decide(wish, _EMPTY, 10.0 + _LONGEST - 0.1))
    case.assertTrue(heir.decide(wish, _EMPTY, 10.0 + _LONGEST).steps)


def test_replaced_giver_keeps_still(case, book):
    late = make_book(epoch=1)
    late.note_read(orders.OrderRow(epoch=2), 5)
    case.assertIsNone(late.decide(make_wish(), _EMPTY, 0.0))


def test_giver_with_an_older_configuration_keeps_to_the_row(case, book):
    """Operators replaced a version, and after a takeover it is back.

    The new giver has not heard of the last configuration yet. The row says
    that its state comes from a later one than the giver has.
    """
    action = write(book, make_wish('2', 2), _EMPTY, 0.0)
    heir = make_book(epoch=2, checks_epoch=True)
    heir.note_read(action.row, 1)
    write(heir, make_wish('1', 1), _EMPTY, 10.0)
    steps = heir.decide(make_wish('1', 1), _EMPTY, 10.0).steps
    case.assertEqual((orders.Step('load', 'm', '2'),), steps)


def test_spare_copy_goes_only_where_an_order_brought_it(case, book):
    """A model goes from all the engines that operators put it on.

    Only what orders added beyond the minimum may go again.
    """
    both = orders.Reported({'m': '1', 'own': '1'}, {}, 'both')
    known = {'m': '1', 'own': '1'}
    write(book, make_wish(known=known), _EMPTY, 0.0)
    write(book, make_wish(known=known), both, 1.0)
    spare = frozenset(known)
    wish = make_wish(models=frozenset(), known=known, spare=spare)
    action = write(book, wish, both, 2.0)
    case.assertEqual((orders.Step('unload', 'm'),), action.steps)
    case.assertEqual({'own': '1'}, action.row.desired.models)
    again = book.decide(make_wish(known=known), both, 3.0)
    case.assertEqual(known, again.row.desired.models)
    withdrawn = book.decide(make_wish(models=frozenset(), known={}), both, 3.0)
    case.assertEqual((orders.Step('unload', 'm'),), withdrawn.steps)


def test_load_of_another_version_is_overruled(case):
    desired = orders.DesiredState(models={'m': '2'})
    late = orders.Reported({'m': '2'}, {'m': '1'}, 'both')
    steps = orders.list_steps(desired, late)
    case.assertEqual([orders.Step('load', 'm', '2')], steps)
    case.assertFalse(orders.is_confirmed(desired, late))


load_tests = fixtures.adapt(__name__)
