"""What the node itself can do, measured; free of input, output and clock.

The node is a queue before the fleet: what it has not read yet waits in the kernel, seen by nobody.
Its length in time (the age of an RPC when it is read, and how late the loop comes to its deadlines)
is held under a part of the shortest soft deadline by a rate of RPCs that are let in:

- a window whose mean wait is over the aim lowers the rate, from what was let in, by as much as it
  was over;
- it never falls so far that refusals use most of the CPU time, which alone can fill the wait;
- a window within the aim raises it by `GROWTH`, and once it stands well over what comes in there
  is none.

What comes in beyond the rate is the burden. The decisions are told of it and choose whom to turn
away. The
rate is no figure of the machine: nothing but the wait sets it, so it holds for any core and any
neighbour.

A pause (the process stopped, or its core taken) is no burden: the node was away, and what it reads
then is
old for that reason alone. Invariants: 0 <= burden <= MOST; no rate means no burden.
"""

from __future__ import annotations

AIM = 0.4  # of the shortest soft deadline: the mean wait for being read that is held
WINDOWS = 4  # in a shortest soft deadline
GROWTH = 1.15  # of the rate, in a window within the aim: from a tenth to all in seventeen windows
EASY = 1.3  # times what comes in: a rate above it limits nothing and goes
STEPS = (0.6, 0.97)  # a rate is lowered to between these parts of what was let in
FLOOR = 0.6  # of the CPU time used: the least that goes to what is let in,
# up to a wait of so many times the aim; less beyond, as ever more is too late when it is read
LONG = 1.25
SAMPLE = 8  # RPCs in a window that tell what one costs
MOST = 0.98  # the largest burden: some are always let in, or nothing would be measured
AWAY = 1.0  # times the aim: a beat so much late, with its CPU time not used, is a pause
FAR = float("inf")


class Admission:
    """Told of what was read and of each beat; tells the burden."""

    __slots__ = (
        "aim",
        "window",
        "rate",
        "cost",
        "burden",
        "arrivals",
        "wait",
        "_at",
        "_came",
        "_let",
        "_ages",
        "_skip",
        "_cpu",
    )

    def __init__(self, now: float, soft_ms: float) -> None:
        """`soft_ms`: the shortest soft deadline, in milliseconds."""
        self.aim, self.window = AIM * soft_ms, soft_ms / WINDOWS
        self.rate, self.burden = FAR, 0.0  # RPCs a millisecond let in; the part that is above it
        self.cost = 0.0  # CPU time of an RPC that is let in, ms, as seen while none is turned away
        self.arrivals, self.wait = 0.0, 0.0  # a millisecond; the last window's mean wait
        self._at = now
        self._came = self._let = 0
        self._ages, self._skip, self._cpu = 0.0, 0, 0.0

    def retimed(self, soft_ms: float) -> None:
        """Another shortest soft deadline, in milliseconds; the rate and what was measured stay."""
        self.aim, self.window = AIM * soft_ms, soft_ms / WINDOWS

    def read(self, age: float) -> None:
        """An RPC was read that had waited for `age` milliseconds."""
        self._came += 1
        self._let += 1
        self._ages += age

    def reject(self) -> None:
        """The RPC read last was turned away at the door."""
        self._let -= 1

    def paused(self, late: float, used: float) -> bool:
        """Whether a loop that is `late` was away: `used` is its CPU time since the last beat; all
        in ms."""
        # Danger: a pause taken for too much work turns clients away that the node has all the time
        # to serve.
        away = late > AWAY * self.aim and used < late / 2
        if away:
            self._skip = 2  # the window that ends with it, and the one in which the backlog is read
        return away

    def end_window(self, now: float, late: float, cpu: float) -> None:
        """A window is over; its end was seen so many ms late. `cpu`: CPU time used since the
        start, in ms."""
        span, used, self._at, self._cpu = max(now - self._at, 1.0), cpu - self._cpu, now, cpu
        came, let, ages = self._came, self._let, self._ages
        self._came = self._let = 0
        self._ages = 0.0
        if self._skip:
            self._skip -= 1
            return
        self.arrivals += (came / span - self.arrivals) * 0.5
        self.wait = (ages + late) / (came + 1)
        if came == let >= SAMPLE:
            self.cost += (used / let - self.cost) * (0.2 if self.cost else 1.0)
        if self.wait > self.aim:
            low, high = STEPS
            # Danger: clients that try again at once fill the wait whatever is let in. A rate that
            # falls and falls turns the whole of a core into refusals.
            useful = FLOOR * min(1.0, LONG * self.aim / self.wait)
            floor = useful * used / span / self.cost if self.cost > 0 else 0.0
            self.rate = max(
                floor, min(self.rate, let / span) * max(low, min(high, self.aim / self.wait))
            )
        elif self.rate < FAR:
            # Danger: a rate that was not reached says nothing; grown on it would be let go in the
            # next surge.
            self.rate *= GROWTH
            if self.rate > EASY * self.arrivals and came == let:
                self.rate = FAR
        self.burden = (
            min(MOST, max(0.0, 1 - self.rate / self.arrivals)) if self.arrivals > 0 else 0.0
        )
