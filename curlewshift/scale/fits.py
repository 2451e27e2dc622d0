"""Straight lines through measured points, with their errors, and whether the points are straight at all. No I/O.

Called by the slopes of a real node; its figures go into docs/measured/ as they are.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf, sqrt

# Student's t, 97.5%, for 1 to 10 degrees of freedom and then some (any table of statistics).
STUDENT = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)
STUDENT_BEYOND = ((15, 2.131), (20, 2.086), (30, 2.042), (60, 2.000))
# A bend that is proven and yet so small a part of the rise makes no figure wrong that is carried beyond the points by a little.
BEND = 0.05
SIZES_LEAST = 4


class TooFew(ValueError):
    """Points of which nothing can be said."""


@dataclass(frozen=True, slots=True)
class Fit:
    """y = intercept + slope * x by least squares. `slope_error` is the standard error, `worst_residual` the largest distance of a
    point in units of y; `bend` is how far the quadratic term leaves the line in the middle, as a part of the rise over all."""

    intercept: float
    slope: float
    slope_error: float
    worst_residual: float
    bend: float
    bend_t: float
    straight: bool
    by: str

    def told(self) -> dict:
        return {"intercept": rounded(self.intercept), "slope": rounded(self.slope), "slope_error": rounded(self.slope_error),
                "worst_residual": rounded(self.worst_residual), "straight": self.straight, "by": self.by}


def fit(points: list[tuple[float, float]]) -> Fit:
    """Raises `TooFew` under four different x."""
    xs, ys, count = [float(x) for x, _ in points], [float(y) for _, y in points], len(points)
    if len(set(xs)) < SIZES_LEAST:
        raise TooFew(f"{len(set(xs))} different sizes, from {SIZES_LEAST} on a slope can be told from a bend")
    middle, mean = sum(xs) / count, sum(ys) / count
    # x in parts of its own span: squares of 68,000 beside 1 would cost the digits
    span = max(xs) - min(xs)
    us = [(x - middle) / span for x in xs]
    uu = sum(u * u for u in us)
    slope = sum(u * (y - mean) for u, y in zip(us, ys)) / uu
    rests = [y - mean - slope * u for u, y in zip(us, ys)]
    left = sum(rest * rest for rest in rests)
    # what is new in the square: of no mean and at a right angle to u
    square, skew = uu / count, sum(u ** 3 for u in us) / uu
    qs = [u * u - square - skew * u for u in us]
    qq = sum(q * q for q in qs)
    curve = sum(q * rest for q, rest in zip(qs, rests)) / qq
    free = count - 3
    noise = max(0.0, left - curve * curve * qq) / free
    error = sqrt(noise / qq)
    # under the digits that floats keep, neither is a measurement
    floor = 1e-12 * (abs(mean) + abs(slope))
    t = abs(curve) / error if error > floor else inf if abs(curve) > floor else 0.0
    # a parabola leaves its chord by a quarter of its coefficient
    bend, limit = abs(curve) / 4 / max(abs(slope), floor, 1e-300), student(free)
    straight = not (t > limit and bend > BEND)
    by = (f"quadratic term: t {t:.1f} against {limit:.2f} (Student, 95%, {free} free), "
          f"bend {100 * bend:.1f}% of the rise against {100 * BEND:.0f}%; not straight where both are passed")
    return Fit(mean - slope * middle / span, slope / span, sqrt(left / (count - 2) / uu) / span, max(map(abs, rests)),
               bend, t, straight, by)


def student(free: int) -> float:
    """The bound for |t| at 95%, from below where the table has a gap."""
    if free <= len(STUDENT):
        return STUDENT[free - 1]
    known = [bound for least, bound in STUDENT_BEYOND if free >= least]
    return known[-1] if known else STUDENT[-1]


def rounded(value: float, digits: int = 5) -> float:
    """As many digits as a measurement has, and not more."""
    return float(f"{value:.{digits}g}")
