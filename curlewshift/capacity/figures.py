"""A figure, and how it came: measured, worked out of what was measured, or assumed. Each table cell is made of these.

No figure is there that no file gives: what has no file is None, and the tables say «not measured».
"""

from __future__ import annotations

from dataclasses import dataclass, replace

MEASURED, SIMULATED, WORKED_OUT, ASSUMED, WANTED = "measured", "simulated", "worked out", "assumed", "wanted"
SUPPOSED, FROM_SIMULATED = "worked out of what is assumed", "worked out of what is simulated"
NOT_MEASURED = "not measured"


@dataclass(frozen=True)
class Figure:
    """`error` is in the figure's own unit. `measured_to` and `wanted_at` are where a slope was carried beyond its run, as
    (amount, unit). `at_least`: not carried beyond its run, and as it rises the true figure lies above. `of_less`: of a smaller
    run, and nothing says which way it goes."""

    value: float
    unit: str
    how: str
    error: float = 0.0
    files: tuple[str, ...] = ()
    command: str = ""
    measured_to: float | None = None
    wanted_at: float | None = None
    carried: str = ""
    at_least: bool = False
    by: str = ""
    of_less: bool = False

    @property
    def factor(self) -> float:
        """How far beyond its run the figure was carried; 1 where it lies within."""
        return 1.0 if not self.measured_to else max(1.0, self.wanted_at / self.measured_to)

    def text(self) -> str:
        least = "at least " if self.at_least else ""
        error = f" ± {short(self.error)}" if self.error else ""
        return f"{least}{short(self.value)}{error} {self.unit} ({self.how})"

    def limit(self) -> str:
        """The limit of the machine that measured, beside a figure carried beyond it."""
        if self.factor <= 1.0:
            return ""
        words = "" if self.how == WANTED else ", not carried" if self.at_least or self.of_less else ", carried"
        return f"measured to {short(self.measured_to)} {self.carried}, wanted {short(self.wanted_at)}: ×{self.factor:.1f}{words}"

    def times(self, by: float, unit: str, carried: str = "") -> Figure:
        """So many times this, worked out."""
        how = FROM_SIMULATED if self.how in (SIMULATED, FROM_SIMULATED) else WORKED_OUT
        return replace(self, value=self.value * by, error=self.error * by, unit=unit, how=how, carried=carried or self.carried)

    def plus(self, other: Figure) -> Figure:
        """Both together, in one unit; the errors add up, and the one that was carried further keeps its limit."""
        if other.unit != self.unit:
            raise ValueError(f"{self.unit} and {other.unit} do not add up")
        further = max(self, other, key=lambda one: one.factor)
        how = FROM_SIMULATED if {self.how, other.how} & {SIMULATED, FROM_SIMULATED} else WORKED_OUT
        return replace(
            further,
            value=self.value + other.value,
            error=self.error + other.error,
            how=how,
            files=tuple(dict.fromkeys(self.files + other.files)),
            at_least=self.at_least or other.at_least,
            of_less=self.of_less or other.of_less,
            command=" ; ".join(dict.fromkeys(one for one in (self.command, other.command) if one)),
        )


def assumed(value: float, unit: str) -> Figure:
    return Figure(value, unit, ASSUMED)


def wanted(value: float, unit: str) -> Figure:
    return Figure(value, unit, WANTED)


def worked_out(value: float, unit: str) -> Figure:
    """From the users' numbers alone."""
    return Figure(value, unit, WORKED_OUT)


def supposed(value: float, unit: str) -> Figure:
    """From what is assumed, and the users' numbers."""
    return Figure(value, unit, SUPPOSED)


def short(value: float) -> str:
    """Three places that count below a thousand, five above, and thousands apart."""
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


def together(figures: list[Figure | None]) -> Figure | None:
    """The sum; None where one of them is not measured."""
    if not figures or any(one is None for one in figures):
        return None
    sum_ = figures[0]
    for one in figures[1:]:
        sum_ = sum_.plus(one)
    return sum_
