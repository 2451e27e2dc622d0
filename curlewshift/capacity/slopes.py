"""Costs as a function of load, fitted to the points of one measurement run and extrapolated to the required size.

The line is fitted anew to the points, and a file whose stated fit differs is rejected. A slope that is not straight is
interpolated between its points within the measured range and not extrapolated beyond it: as it rises, its last point is then a
lower bound.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace

from curlewshift.capacity.figures import DERIVED, FROM_SIMULATED, MEASURED, SIMULATED, Figure, format_number

MIN_SIZES = 4
# Relative tolerance between the fit that a file states, with five digits, and the line through its points.
FIT_TOLERANCE = 0.001
# The largest residual of a size's mean, relative to the rise of the line, and the largest relative error of the slope with which
# a line is extrapolated. With more scatter, so few points do not show that it is straight.
MAX_SCATTER = 0.10
# Units as (base unit, factor to the base unit).
UNITS = {
    "bytes": ("bytes", 1.0),
    "kB": ("bytes", 1e3),
    "MB": ("bytes", 1e6),
    "GB": ("bytes", 1e9),
    "s": ("s", 1.0),
    "seconds": ("s", 1.0),
    "ms": ("s", 1e-3),
    "us": ("s", 1e-6),
    "core": ("core", 1.0),
    "cores": ("core", 1.0),
    "bytes/s": ("bytes/s", 1.0),
    "bytes a second": ("bytes/s", 1.0),
    "kB/s": ("bytes/s", 1e3),
}


class InvalidMeasurements(Exception):
    """A measurement file that cannot be used. The message names the file and the error."""


def convert_unit(value: float, unit: str, wanted: str) -> float:
    """Converts `value` from `unit` to `wanted`. Raises `InvalidMeasurements` if their base units differ."""
    if unit == wanted:
        return value
    kinds = UNITS.get(unit), UNITS.get(wanted)
    if None in kinds or kinds[0][0] != kinds[1][0]:
        raise InvalidMeasurements(f"the unit should be {wanted} or convertible to it, but is {unit!r}")
    return value * kinds[0][1] / kinds[1][1]


@dataclass(frozen=True)
class Line:
    """A least squares line. `max_residual` is the largest absolute residual of a point, in the unit of y."""

    intercept: float
    slope: float
    slope_error: float
    max_residual: float


def line_through(points: list[tuple[float, float]]) -> Line:
    count = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / count, sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residuals = [y - intercept - slope * x for x, y in points]
    error = (sum(residual * residual for residual in residuals) / max(1, count - 2) / spread) ** 0.5
    return Line(intercept, slope, error, max(abs(residual) for residual in residuals))


@dataclass(frozen=True)
class Slope:
    """A measured cost in `y_unit` as a function of x; `of` is the role measured, `file` and `command` are its source."""

    name: str
    file: str
    of: str
    x_unit: str
    y_unit: str
    points: tuple[tuple[float, float], ...]
    line: Line
    straight: bool
    command: str
    notes: str

    @property
    def simulated(self) -> bool:
        return "simulated" in self.notes

    @property
    def can_extrapolate(self) -> bool:
        """Whether the line is straight and its scatter within `MAX_SCATTER`."""
        residuals = max(abs(y - self.line.intercept - self.line.slope * x) for x, y in self.curve)
        slope_is_precise = self.line.slope_error <= MAX_SCATTER * abs(self.line.slope)
        return (
            self.straight
            and slope_is_precise
            and residuals <= MAX_SCATTER * abs(self.line.slope) * (self.points[-1][0] - self.points[0][0])
        )

    @property
    def measured_to(self) -> float:
        return self.points[-1][0]

    def marginal_cost(self, unit: str, required_at: float) -> Figure:
        """Returns the cost of one more x: the slope of the line, or of the last segment if that cannot be extrapolated."""
        if self.can_extrapolate:
            value, error = self.line.slope, self.line.slope_error
        else:
            (x0, y0), (x1, y1) = self.curve[-2:]
            value, error = (y1 - y0) / (x1 - x0), 0.0
        return self._figure(value, error, unit, required_at, not self.can_extrapolate and required_at > self.measured_to)

    def increase_from_smallest(self, x: float, unit: str) -> Figure:
        """Returns what x units add to the cost: to that of none by the line or, if it cannot be extrapolated, to that of the
        smallest measured size."""
        if self.can_extrapolate:
            return self.marginal_cost(unit, x).times(x, unit)
        found, smallest = self.at(x, unit), self.at(self.curve[0][0], unit)
        return replace(
            found,
            value=found.value - smallest.value,
            error=found.error + smallest.error,
            origin=DERIVED,
            method=f"{found.method}, less that at {format_number(self.curve[0][0])}",
        )

    def at(self, x: float, unit: str, extrapolate: bool = True) -> Figure:
        """Returns the cost of x units. Without `extrapolate` the value beyond the measured range is a lower bound; used for
        waiting times, which grow without limit once a process is saturated."""
        within = x <= self.measured_to
        repeats = [y for size, y in self.points if size == x]
        if repeats:
            return self._measured_size(repeats, unit, x)
        if self.can_extrapolate and (extrapolate or within):
            return self._figure(
                self.line.intercept + self.line.slope * x, self.line.slope_error * abs(x) + self.line.max_residual, unit, x, False
            )
        if not within:
            return self._figure(self.curve[-1][1], 0.0, unit, x, True)
        return self._figure(self._interpolated(x), 0.0, unit, x, False)

    def _measured_size(self, repeats: list[float], unit: str, x: float) -> Figure:
        """Returns the cost at a measured size: the mean of its repeats, with the largest deviation from it as the error."""
        mean = sum(repeats) / len(repeats)
        figure = self._figure(mean, max(abs(repeat - mean) for repeat in repeats), unit, x, False)
        return replace(
            figure, origin=SIMULATED if self.simulated else MEASURED, method=f"run at {format_number(x)} {self.x_unit}"
        )

    def _figure(self, value: float, error: float, unit: str, x: float, is_lower_bound: bool) -> Figure:
        caveat = "" if self.can_extrapolate else "too scattered to carry: " if self.straight else "not straight: "
        method = (
            f"{caveat}by its last point" if is_lower_bound else "by its line" if self.straight else f"{caveat}between its points"
        )
        origin = FROM_SIMULATED if self.simulated else DERIVED
        return Figure(
            convert_unit(value, self.y_unit, unit),
            unit,
            origin,
            convert_unit(error, self.y_unit, unit),
            (self.file,),
            self.command,
            self.measured_to,
            x,
            self.x_unit,
            is_lower_bound,
            method,
        )

    @property
    def curve(self) -> list[tuple[float, float]]:
        """The points by ascending x, with the repeats of a size averaged."""
        repeats: dict[float, list[float]] = {}
        for x, y in self.points:
            repeats.setdefault(x, []).append(y)
        return [(x, sum(ys) / len(ys)) for x, ys in sorted(repeats.items())]

    def _interpolated(self, x: float) -> float:
        curve = self.curve
        if x <= curve[0][0]:
            return curve[0][1]
        return next(y0 + (y1 - y0) * (x - x0) / (x1 - x0) for (x0, y0), (x1, y1) in itertools.pairwise(curve) if x <= x1)

    def fit_text(self) -> str:
        """Describes the fit for the table of slopes."""
        if not self.straight:
            return "not straight"
        unit, multiplier = ("us", 1e6) if UNITS.get(self.y_unit, ("",))[0] == "s" else (self.y_unit, 1.0)
        value, error = (
            convert_unit(part, self.y_unit, "s") * multiplier if unit == "us" else part
            for part in (self.line.slope, self.line.slope_error)
        )
        scattered = "" if self.can_extrapolate else "; too scattered to carry"
        return f"{format_number(value)} ± {format_number(error)} {unit} each{scattered}"


def slope_of(entry: dict, file: str) -> Slope:
    """Reads a slope from an entry of a measurement file. Raises `InvalidMeasurements`."""
    name = entry.get("name", "?")

    def error(reason: str) -> InvalidMeasurements:
        return InvalidMeasurements(f"{file}: slope {name}: {reason}")

    for key in ("name", "x", "y", "points", "fit", "command"):
        if not entry.get(key):
            raise error(f"{key} is missing")
    points = tuple(sorted((float(point[0]), float(point[1])) for point in entry["points"]))
    sizes = len({x for x, _ in points})
    if sizes < MIN_SIZES:
        raise error(f"at least {MIN_SIZES} different sizes are required, but it has {sizes}")
    line, fit = line_through(list(points)), entry["fit"]
    for key in ("intercept", "slope", "straight"):
        if key not in fit:
            raise error(f"its fit has no {key}")
    # compared at the largest x, where intercept and slope both count and from where the line is extrapolated
    max_x = points[-1][0]
    fitted, stated = line.intercept + line.slope * max_x, fit["intercept"] + fit["slope"] * max_x
    if abs(fitted - stated) > FIT_TOLERANCE * (abs(line.intercept) + abs(line.slope * max_x)):
        raise error(f"its stated fit gives {stated:.5g} at {max_x:g}, but the line through its points {fitted:.5g}")
    x, notes = entry["x"], entry.get("notes") or ""
    unit = x.get("unit", "")
    return Slope(
        name,
        file,
        entry.get("of", ""),
        _plural(x["name"]) if unit in ("", "count") else x["name"],
        entry["y"].get("unit", ""),
        points,
        line,
        bool(fit["straight"]),
        entry["command"],
        notes if isinstance(notes, str) else "; ".join(notes),
    )


def _plural(name: str) -> str:
    first, *more = name.replace("-", " ").split()
    return " ".join([first if first.endswith("s") else first + "s", *more])
