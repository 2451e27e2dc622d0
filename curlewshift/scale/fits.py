"""Straight lines through measured points, with their errors, and whether the points are straight at all. No I/O.

Called by the slopes of a real node; its figures go into docs/measured/ as they are. Points are called not straight by either of
two tests (any textbook of regression has them): a quadratic term beyond its error, and, where sizes were repeated, means of
sizes that lie off the line by more than their repeats differ (lack of fit), as a step does that no parabola follows.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from math import exp, inf, lgamma, log, sqrt

# What chance does not do more often than so: of each test, as two are made.
CHANCE = 0.025
# What is proven and yet so small a part of the rise makes no figure wrong that is carried beyond the points by a little.
BEND = 0.05
SIZES_LEAST = 4


class TooFewPoints(ValueError):
    """Points of which nothing can be said."""


@dataclass(frozen=True, slots=True)
class Fit:
    """y = intercept + slope * x by least squares. `slope_error` is the standard error, `worst_residual` the largest distance
    of a point in units of y; `by` says what the tests found."""

    intercept: float
    slope: float
    slope_error: float
    worst_residual: float
    straight: bool
    by: str

    def told(self) -> dict:
        return {
            "intercept": rounded(self.intercept),
            "slope": rounded(self.slope),
            "slope_error": rounded(self.slope_error),
            "worst_residual": rounded(self.worst_residual),
            "straight": self.straight,
            "by": self.by,
        }


def fit(points: list[tuple[float, float]]) -> Fit:
    """Raises `TooFewPoints` under four different x."""
    xs, ys, count = [float(x) for x, _ in points], [float(y) for _, y in points], len(points)
    if len(set(xs)) < SIZES_LEAST:
        raise TooFewPoints(f"{len(set(xs))} different sizes, from {SIZES_LEAST} on a slope can be told from a bend")
    middle, mean = sum(xs) / count, sum(ys) / count
    # x in parts of its own span: squares of 68,000 beside 1 would cost the digits
    span = max(xs) - min(xs)
    us = [(x - middle) / span for x in xs]
    uu = sum(u * u for u in us)
    slope = sum(u * (y - mean) for u, y in zip(us, ys)) / uu
    rests = [y - mean - slope * u for u, y in zip(us, ys)]
    left = sum(rest * rest for rest in rests)
    # under the digits that floats keep, nothing is a measurement
    floor = 1e-12 * (abs(mean) + abs(slope))
    bent, bend = _bent(us, rests, uu, left, floor, abs(slope))
    off, step = _off(us, rests, floor, abs(slope))
    return Fit(
        mean - slope * middle / span,
        slope / span,
        sqrt(left / (count - 2) / uu) / span,
        max(map(abs, rests)),
        not (bent or off),
        f"{bend}; {step}; not straight where one of them is under {100 * CHANCE:g}% and over {100 * BEND:g}% of the rise",
    )


def _bent(us: list[float], rests: list[float], uu: float, left: float, floor: float, rise: float) -> tuple[bool, str]:
    """The quadratic term against its error."""
    count = len(us)
    # what is new in the square: of no mean and at a right angle to u
    square, skew = uu / count, sum(u**3 for u in us) / uu
    qs = [u * u - square - skew * u for u in us]
    qq = sum(q * q for q in qs)
    curve = sum(q * rest for q, rest in zip(qs, rests)) / qq
    # a parabola leaves its chord by a quarter of its coefficient
    return _judged("quadratic term", curve * curve * qq, 1, left - curve * curve * qq, count - 3, abs(curve) / 4, floor, rise)


def _off(us: list[float], rests: list[float], floor: float, rise: float) -> tuple[bool, str]:
    """How far the means of sizes lie off the line against how far repeats differ."""
    by_size = defaultdict(list)
    for u, rest in zip(us, rests):
        by_size[u].append(rest)
    if len(by_size) == len(us):
        return False, "no size repeated, so that a step is not told from noise"
    means = {u: sum(same) / len(same) for u, same in by_size.items()}
    lack = sum(len(same) * means[u] ** 2 for u, same in by_size.items())
    pure = sum((rest - means[u]) ** 2 for u, same in by_size.items() for rest in same)
    most = max(map(abs, means.values()))
    return _judged("lack of fit", lack, len(by_size) - 2, pure, len(us) - len(by_size), most, floor, rise)


def _judged(
    name: str, found: float, of: int, noise: float, free: int, size: float, floor: float, rise: float
) -> tuple[bool, str]:
    noise = max(0.0, noise)
    ratio = 0.0 if size <= floor else found / of / (noise / free) if noise > free * floor * floor else inf
    p_value, part = f_tail(ratio, of, free), size / max(rise, floor, 1e-300)
    return (
        p_value < CHANCE and part > BEND,
        f"{name}: F({of}, {free}) {ratio:.3g}, chance {100 * p_value:.2g}%, {100 * part:.1f}% of the rise",
    )


def f_tail(ratio: float, of: int, free: int) -> float:
    """How often chance alone gives so large a ratio of variances (the F distribution, by the incomplete beta function)."""
    if ratio <= 0:
        return 1.0
    if ratio == inf:
        return 0.0
    return _beta(free / 2, of / 2, free / (free + of * ratio))


def _beta(a: float, b: float, x: float) -> float:
    """The regularized incomplete beta function by its continued fraction (DLMF 8.17.22), by Lentz's way."""
    if x >= 1.0:
        return 1.0
    if x > (a + 1) / (a + b + 2):
        # it converges fast below its mean, and the other end is the same by symmetry
        return 1.0 - _beta(b, a, 1.0 - x)
    front = exp(lgamma(a + b) - lgamma(a) - lgamma(b) + a * log(x) + b * log(1.0 - x)) / a
    tiny = 1e-300
    value, c, d = 1.0, 1.0, 1.0 - (a + b) * x / (a + 1)
    d = 1.0 / (d if abs(d) > tiny else tiny)
    value = d
    for m in range(1, 300):
        for term in (
            m * (b - m) * x / ((a + 2 * m - 1) * (a + 2 * m)),
            -(a + m) * (a + b + m) * x / ((a + 2 * m) * (a + 2 * m + 1)),
        ):
            d, c = 1.0 + term * d, 1.0 + term / c
            d = 1.0 / (d if abs(d) > tiny else tiny)
            c = c if abs(c) > tiny else tiny
            value *= d * c
        if abs(d * c - 1.0) < 1e-12:
            break
    return front * value


def rounded(value: float, digits: int = 5) -> float:
    """As many digits as a measurement has, and not more."""
    return float(f"{value:.{digits}g}")
