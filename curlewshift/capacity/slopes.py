"""What one thing costs by another, from points measured in one run, carried to where a size wants it.

Points and not the file's own fit are what counts here: the line is laid through them anew, and a file whose fit says something
else is refused. A slope that is not straight is carried within its run between its points, and beyond it not at all: its last
point is then the least that it can be, as it rises.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace

from curlewshift.capacity.figures import FROM_SIMULATED, MEASURED, SIMULATED, WORKED_OUT, Figure, short

FEWEST_POINTS = 4
# How far the fit that a file states may lie from the line through its points, as a part: it is told with five digits.
SAME_FIT = 0.001
# A line from which the mean of a size lies further off than this part of its rise, or whose slope has an error over this part,
# is too scattered to be carried beyond its run: so few points do not show that it is straight.
SCATTERED = 0.10
# What a unit is in the first of its kind.
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
    """A file of measurements that cannot be used: which, and what is wrong with it."""


def in_unit(value: float, came: str, wanted: str) -> float:
    """Raises `InvalidMeasurements` where the two are not of one kind."""
    if came == wanted:
        return value
    kinds = UNITS.get(came), UNITS.get(wanted)
    if None in kinds or kinds[0][0] != kinds[1][0]:
        raise InvalidMeasurements(f"the unit should be {wanted} or one that becomes it, but is {came!r}")
    return value * kinds[0][1] / kinds[1][1]


@dataclass(frozen=True)
class Line:
    """The least squares line through points; `worst` is the largest distance of one from it, in y's unit."""

    intercept: float
    slope: float
    slope_error: float
    worst: float


def line_through(points: list[tuple[float, float]]) -> Line:
    count = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / count, sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    off = [y - intercept - slope * x for x, y in points]
    error = (sum(one * one for one in off) / max(1, count - 2) / spread) ** 0.5
    return Line(intercept, slope, error, max(abs(one) for one in off))


@dataclass(frozen=True)
class Slope:
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
    def bears_carrying(self) -> bool:
        off = max(abs(y - self.line.intercept - self.line.slope * x) for x, y in self.curve)
        sure = self.line.slope_error <= SCATTERED * abs(self.line.slope)
        return self.straight and sure and off <= SCATTERED * abs(self.line.slope) * (self.points[-1][0] - self.points[0][0])

    @property
    def measured_to(self) -> float:
        return self.points[-1][0]

    def each(self, unit: str, carried_to: float) -> Figure:
        """What one more of x costs, by the line; where it does not bear that, what the last stretch between points costs."""
        if self.bears_carrying:
            value, error = self.line.slope, self.line.slope_error
        else:
            (x0, y0), (x1, y1) = self.curve[-2:]
            value, error = (y1 - y0) / (x1 - x0), 0.0
        return self._figure(value, error, unit, carried_to, not self.bears_carrying and carried_to > self.measured_to)

    def added(self, x: float, unit: str) -> Figure:
        """What x of them add to none: by the line; where that is not straight, to the fewest that were run."""
        if self.bears_carrying:
            return self.each(unit, x).times(x, unit)
        found, fewest = self.at(x, unit), self.at(self.curve[0][0], unit)
        return replace(
            found,
            value=found.value - fewest.value,
            error=found.error + fewest.error,
            how=WORKED_OUT,
            by=f"{found.by}, less that at {short(self.curve[0][0])}",
        )

    def at(self, x: float, unit: str, beyond: bool = True) -> Figure:
        """What x of them cost. Without `beyond` nothing past the run is worked out, as of waits, which rise without end once a
        process is full."""
        within = x <= self.measured_to
        repeats = [y for size, y in self.points if size == x]
        if repeats:
            return self._run(repeats, unit, x)
        if self.bears_carrying and (beyond or within):
            return self._figure(
                self.line.intercept + self.line.slope * x, self.line.slope_error * abs(x) + self.line.worst, unit, x, False
            )
        if not within:
            return self._figure(self.curve[-1][1], 0.0, unit, x, True)
        return self._figure(self._between(x), 0.0, unit, x, False)

    def _run(self, repeats: list[float], unit: str, x: float) -> Figure:
        """A size that was run itself: the mean of its repeats, and how far one lies from it."""
        mean = sum(repeats) / len(repeats)
        found = self._figure(mean, max(abs(one - mean) for one in repeats), unit, x, False)
        return replace(found, how=SIMULATED if self.simulated else MEASURED, by=f"run at {short(x)} {self.x_unit}")

    def _figure(self, value: float, error: float, unit: str, x: float, least: bool) -> Figure:
        bent = "" if self.bears_carrying else "too scattered to carry: " if self.straight else "not straight: "
        by = f"{bent}by its last point" if least else "by its line" if self.straight else f"{bent}between its points"
        how = FROM_SIMULATED if self.simulated else WORKED_OUT
        return Figure(
            in_unit(value, self.y_unit, unit),
            unit,
            how,
            in_unit(error, self.y_unit, unit),
            (self.file,),
            self.command,
            self.measured_to,
            x,
            self.x_unit,
            least,
            by,
        )

    @property
    def curve(self) -> list[tuple[float, float]]:
        """Repeats of a size as their mean."""
        repeats: dict[float, list[float]] = {}
        for x, y in self.points:
            repeats.setdefault(x, []).append(y)
        return [(x, sum(ys) / len(ys)) for x, ys in sorted(repeats.items())]

    def _between(self, x: float) -> float:
        curve = self.curve
        if x <= curve[0][0]:
            return curve[0][1]
        return next(y0 + (y1 - y0) * (x - x0) / (x1 - x0) for (x0, y0), (x1, y1) in itertools.pairwise(curve) if x <= x1)

    def fit(self) -> str:
        """In words, for the table of slopes."""
        if not self.straight:
            return "not straight"
        unit, by = ("us", 1e6) if UNITS.get(self.y_unit, ("",))[0] == "s" else (self.y_unit, 1.0)
        value, error = (
            in_unit(one, self.y_unit, "s") * by if unit == "us" else one for one in (self.line.slope, self.line.slope_error)
        )
        scattered = "" if self.bears_carrying else "; too scattered to carry"
        return f"{short(value)} ± {short(error)} {unit} each{scattered}"


def slope_of(told: dict, file: str) -> Slope:
    """From one entry of a file. Raises `InvalidMeasurements` with the file's name and what is wrong."""
    name = told.get("name", "?")

    def no(words: str) -> InvalidMeasurements:
        return InvalidMeasurements(f"{file}: slope {name}: {words}")

    for key in ("name", "x", "y", "points", "fit", "command"):
        if not told.get(key):
            raise no(f"{key} is missing")
    points = tuple(sorted((float(point[0]), float(point[1])) for point in told["points"]))
    sizes = len({x for x, _ in points})
    if sizes < FEWEST_POINTS:
        raise no(f"{FEWEST_POINTS} sizes are needed, but {sizes} are there")
    line, fit = line_through(list(points)), told["fit"]
    for key in ("intercept", "slope", "straight"):
        if key not in fit:
            raise no(f"its fit has no {key}")
    # at the far end both parts of the line count, and that is where it is carried from
    reach = points[-1][0]
    here, says = line.intercept + line.slope * reach, fit["intercept"] + fit["slope"] * reach
    if abs(here - says) > SAME_FIT * (abs(line.intercept) + abs(line.slope * reach)):
        raise no(f"its fit says {says:.5g} at {reach:g}, the line through its points {here:.5g}")
    x, notes = told["x"], told.get("notes") or ""
    unit = x.get("unit", "")
    return Slope(
        name,
        file,
        told.get("of", ""),
        _plural(x["name"]) if unit in ("", "count") else x["name"],
        told["y"].get("unit", ""),
        points,
        line,
        bool(fit["straight"]),
        told["command"],
        notes if isinstance(notes, str) else "; ".join(notes),
    )


def _plural(name: str) -> str:
    first, *more = name.replace("-", " ").split()
    return " ".join([first if first.endswith("s") else first + "s", *more])
