"""The return of one destination after an outage of a minute, under the sum of a fleet of hollow nodes.

What happens: a destination comes back after 60 s and gets more calls within the span that the settings name
than it can bear while cold, most of them from senders that knew of the outage. Of the plays of
`outage_experiments` with seeds 1 to 60, 22 of 2,100 fell without gossip, all with 100 senders or more, and 6
of 1,050 with gossip, all with 30 senders. The rows are plays that fell.

Without gossip: each sender that knows of the outage and has a message in line takes a part of the budget of
one call in 10 s at least, however many such senders there are. The lines hold what came in a message's life
of 20 s, so that the parts of 840 senders made twice the budget: 0.85 of the limit in the first span in the
mean of 50 plays (silent, 12 messages a second), and chance did the rest. A part of one call in a message's
life gives 0.61, and none of 2,880 plays falls.

With gossip: the first success is told to all, and from then on the budget is the larger one of the warm-up. A
sender that had waited since the close had saved up for its next call at the smaller one, so that it and all
others were due at once. Now each draws a place in the first gap anew as it hears of the success.
"""

from irisstack.lab.scale.destinations import Failure
from irisstack.lab.scale.outage_experiments import HOT_RATE, MEAN_RATE, OutageCase, play

WITHOUT_GOSSIP = (
    (100, OutageCase(Failure.UNREACHABLE, MEAN_RATE), 18),
    (100, OutageCase(Failure.SILENT, MEAN_RATE), 10),
    (100, OutageCase(Failure.SILENT, MEAN_RATE), 23),
    (300, OutageCase(Failure.REFUSING, MEAN_RATE), 9),
    (300, OutageCase(Failure.REFUSING, MEAN_RATE), 13),
    (300, OutageCase(Failure.REFUSING, MEAN_RATE), 33),
    (420, OutageCase(Failure.UNREACHABLE, MEAN_RATE), 28),
    (420, OutageCase(Failure.REFUSING, HOT_RATE), 34),
    (420, OutageCase(Failure.SILENT, HOT_RATE), 37),
    (840, OutageCase(Failure.UNREACHABLE, MEAN_RATE), 36),
    (840, OutageCase(Failure.REFUSING, HOT_RATE), 18),
    (840, OutageCase(Failure.SILENT, HOT_RATE), 18),
    (840, OutageCase(Failure.SILENT, HOT_RATE), 53),
)
"""How many senders, the outage and the load, and the seed."""
WITH_GOSSIP = (
    (30, OutageCase(Failure.UNREACHABLE, gossip=True), 33),
    (30, OutageCase(Failure.UNREACHABLE, gossip=True), 36),
    (30, OutageCase(Failure.REFUSING, gossip=True), 3),
    (30, OutageCase(Failure.REFUSING, gossip=True), 4),
    (30, OutageCase(Failure.REFUSING, gossip=True), 15),
    (30, OutageCase(Failure.REFUSING, gossip=True), 32),
)


def test_no_return_is_pushed_over_by_senders_that_each_learned_of_the_outage_alone() -> None:
    assert [row for row in WITHOUT_GOSSIP if play(*row).load.falls] == []


def test_no_return_is_pushed_over_by_senders_that_told_each_other_of_the_outage() -> None:
    assert [row for row in WITH_GOSSIP if play(*row).load.falls] == []
