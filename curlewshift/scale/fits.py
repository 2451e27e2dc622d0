"""Linear regression of measured points, with standard errors and tests of linearity. No I/O.

Used for the slopes of a real node; the figures go into docs/measured/ unchanged. Points are reported as not straight by either of
two standard regression tests: a significant quadratic term, and, where sizes were repeated, lack of fit (the means of the sizes
deviate from the line by more than the repeats scatter). The second finds steps, which a parabola does not follow.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from math import exp, inf, lgamma, log, sqrt

# Significance level of each test; two tests are made.
SIGNIFICANCE_LEVEL = 0.025
# A significant deviation below this fraction of the rise is ignored: it does not spoil a modest extrapolation.
MIN_DEVIATION = 0.05
MIN_SIZES = 4


class TooFewPoints(ValueError):
    """Too few different sizes to fit a line and test its linearity."""


@dataclass(frozen=True, slots=True)
class Fit:
    """y = intercept + slope * x by least squares. `slope_error` is the standard error, `worst_residual` the largest distance
    of a point in units of y; `by` describes the results of the tests."""

    intercept: float
    slope: float
    slope_error: float
    worst_residual: float
    straight: bool
    by: str

    def as_record(self) -> dict:
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
    if len(set(xs)) < MIN_SIZES:
        raise TooFewPoints(f"{len(set(xs))} different sizes; at least {MIN_SIZES} are needed to tell a line from a curve")
    middle, mean = sum(xs) / count, sum(ys) / count
    # x is scaled by its span: squares of 68,000 next to 1 would lose floating-point precision
    span = max(xs) - min(xs)
    us = [(x - middle) / span for x in xs]
    uu = sum(u * u for u in us)
    slope = sum(u * (y - mean) for u, y in zip(us, ys)) / uu
    residuals = [y - mean - slope * u for u, y in zip(us, ys)]
    residual_sum = sum(residual * residual for residual in residuals)
    # differences below this are floating-point rounding
    floor = 1e-12 * (abs(mean) + abs(slope))
    bent, bend = _test_curvature(us, residuals, uu, residual_sum, floor, abs(slope))
    off, step = _test_lack_of_fit(us, residuals, floor, abs(slope))
    return Fit(
        mean - slope * middle / span,
        slope / span,
        sqrt(residual_sum / (count - 2) / uu) / span,
        max(map(abs, residuals)),
        not (bent or off),
        f"{bend}; {step}; not straight where one of them is under {100 * SIGNIFICANCE_LEVEL:g}% and over "
        f"{100 * MIN_DEVIATION:g}% of the rise",
    )


def _test_curvature(
    us: list[float], residuals: list[float], uu: float, residual_sum: float, floor: float, rise: float
) -> tuple[bool, str]:
    """F test of the quadratic term."""
    count = len(us)
    # the square, made orthogonal to the constant and to u
    square, skew = uu / count, sum(u**3 for u in us) / uu
    qs = [u * u - square - skew * u for u in us]
    qq = sum(q * q for q in qs)
    curve = sum(q * residual for q, residual in zip(qs, residuals)) / qq
    # over a span of 1 a parabola deviates from its chord by a quarter of its coefficient
    return _f_test(
        "quadratic term", curve * curve * qq, 1, residual_sum - curve * curve * qq, count - 3, abs(curve) / 4, floor, rise
    )


def _test_lack_of_fit(us: list[float], residuals: list[float], floor: float, rise: float) -> tuple[bool, str]:
    """Lack-of-fit F test: deviation of the means of sizes from the line against the scatter of repeats."""
    by_size = defaultdict(list)
    for u, residual in zip(us, residuals):
        by_size[u].append(residual)
    if len(by_size) == len(us):
        return False, "no size repeated, so that a step is not told from noise"
    means = {u: sum(same) / len(same) for u, same in by_size.items()}
    lack = sum(len(same) * means[u] ** 2 for u, same in by_size.items())
    pure = sum((residual - means[u]) ** 2 for u, same in by_size.items() for residual in same)
    max_distance = max(map(abs, means.values()))
    return _f_test("lack of fit", lack, len(by_size) - 2, pure, len(us) - len(by_size), max_distance, floor, rise)


def _f_test(
    name: str, found: float, of: int, noise: float, free: int, size: float, floor: float, rise: float
) -> tuple[bool, str]:
    noise = max(0.0, noise)
    ratio = 0.0 if size <= floor else found / of / (noise / free) if noise > free * floor * floor else inf
    p_value, part = f_tail(ratio, of, free), size / max(rise, floor, 1e-300)
    return (
        p_value < SIGNIFICANCE_LEVEL and part > MIN_DEVIATION,
        f"{name}: F({of}, {free}) {ratio:.3g}, chance {100 * p_value:.2g}%, {100 * part:.1f}% of the rise",
    )


def f_tail(ratio: float, of: int, free: int) -> float:
    """Upper tail probability of the F distribution at `ratio`, by the incomplete beta function."""
    if ratio <= 0:
        return 1.0
    if ratio == inf:
        return 0.0
    return _beta(free / 2, of / 2, free / (free + of * ratio))


def _beta(a: float, b: float, x: float) -> float:
    """The regularized incomplete beta function by its continued fraction (DLMF 8.17.22), by Lentz's method."""
    if x >= 1.0:
        return 1.0
    if x > (a + 1) / (a + b + 2):
        # the fraction converges fast below the mean; above it the symmetry relation is used
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
    """Rounded to `digits` significant digits."""
    return float(f"{value:.{digits}g}")
