"""Figures of the capacity tables with their origin: measured, simulated, derived from these, assumed or required.

A figure that no measurement file provides is None, and the tables show «not measured».
"""

from __future__ import annotations

from dataclasses import dataclass, replace

MEASURED, SIMULATED, DERIVED, ASSUMED, WANTED = "measured", "simulated", "worked out", "assumed", "wanted"
FROM_ASSUMPTIONS, FROM_SIMULATED = "worked out of what is assumed", "worked out of what is simulated"
NOT_MEASURED = "not measured"


@dataclass(frozen=True)
class Figure:
    """A value with its origin.

    `error` is in `unit`. `measured_to` and `required_at` are the largest measured and the required extent, both in
    `extent_unit`. `is_lower_bound`: the value is that at the end of the measured range, was not extrapolated, and rises beyond.
    `from_smaller_run`: the value is that of a smaller run, and the direction of its change with size is not known.
    """

    value: float
    unit: str
    origin: str
    error: float = 0.0
    files: tuple[str, ...] = ()
    command: str = ""
    measured_to: float | None = None
    required_at: float | None = None
    extent_unit: str = ""
    is_lower_bound: bool = False
    method: str = ""
    from_smaller_run: bool = False

    @property
    def factor(self) -> float:
        """The ratio of the required to the measured extent; 1 if the figure lies within the measured range."""
        return 1.0 if not self.measured_to else max(1.0, self.required_at / self.measured_to)

    def text(self) -> str:
        prefix = "at least " if self.is_lower_bound else ""
        error = f" ± {format_number(self.error)}" if self.error else ""
        return f"{prefix}{format_number(self.value)}{error} {self.unit} ({self.origin})"

    def limit(self) -> str:
        """Returns the measured and the required extent of a figure that lies beyond the measured range, else an empty string."""
        if self.factor <= 1.0:
            return ""
        suffix = "" if self.origin == WANTED else ", not carried" if self.is_lower_bound or self.from_smaller_run else ", carried"
        return (
            f"measured to {format_number(self.measured_to)} {self.extent_unit}, wanted {format_number(self.required_at)}: "
            f"×{self.factor:.1f}{suffix}"
        )

    def times(self, multiplier: float, unit: str, extent_unit: str = "") -> Figure:
        """Returns the figure and its error multiplied by `multiplier`, in `unit`."""
        origin = FROM_SIMULATED if self.origin in (SIMULATED, FROM_SIMULATED) else DERIVED
        return replace(
            self,
            value=self.value * multiplier,
            error=self.error * multiplier,
            unit=unit,
            origin=origin,
            extent_unit=extent_unit or self.extent_unit,
        )

    def plus(self, other: Figure) -> Figure:
        """Returns the sum of two figures in one unit. The errors add up, and the measured range is that of the figure that is
        extrapolated further. Raises `ValueError` if the units differ."""
        if other.unit != self.unit:
            raise ValueError(f"cannot add figures in {self.unit} and {other.unit}")
        further = max(self, other, key=lambda figure: figure.factor)
        origin = FROM_SIMULATED if {self.origin, other.origin} & {SIMULATED, FROM_SIMULATED} else DERIVED
        return replace(
            further,
            value=self.value + other.value,
            error=self.error + other.error,
            origin=origin,
            files=tuple(dict.fromkeys(self.files + other.files)),
            is_lower_bound=self.is_lower_bound or other.is_lower_bound,
            from_smaller_run=self.from_smaller_run or other.from_smaller_run,
            command=" ; ".join(dict.fromkeys(command for command in (self.command, other.command) if command)),
        )


def assumed(value: float, unit: str) -> Figure:
    return Figure(value, unit, ASSUMED)


def wanted(value: float, unit: str) -> Figure:
    return Figure(value, unit, WANTED)


def derived(value: float, unit: str) -> Figure:
    """Returns a figure computed from the required numbers alone."""
    return Figure(value, unit, DERIVED)


def from_assumptions(value: float, unit: str) -> Figure:
    """Returns a figure computed from assumptions and the required numbers."""
    return Figure(value, unit, FROM_ASSUMPTIONS)


def format_number(value: float) -> str:
    """Formats a number with three significant digits below 1,000, and five with thousands separators above."""
    if value == 0:
        return "0"
    size = abs(value)
    if size >= 1000:
        places = max(0, len(str(int(size))) - 5)
        return f"{round(value, -places):,.0f}"
    if size >= 100:
        return f"{value:.0f}"
    if size >= 10:
        return f"{value:.1f}".removesuffix(".0")
    return f"{value:.3g}"


def total(figures: list[Figure | None]) -> Figure | None:
    """Returns the sum of the figures; None if there are none or one of them is not measured."""
    if not figures or any(figure is None for figure in figures):
        return None
    sum_ = figures[0]
    for figure in figures[1:]:
        sum_ = sum_.plus(figure)
    return sum_
