"""Load reports in response headers, in the text form of Open Request Cost Aggregation (ORCA).

`endpoint-load-metrics: TEXT named_metrics.link=0.71, named_metrics.uplink=0.6`. The metrics are `link` and `uplink`:
demand divided by capacity, which may exceed 1. Unknown and malformed metrics are skipped, as a load report is advisory
and must not make a response fail.
"""

from __future__ import annotations

HEADER = "endpoint-load-metrics"
METRIC_NAMES = ("link", "uplink")


def encode_load(report: dict[str, float]) -> str:
    """Encodes a load report as a header value."""
    return "TEXT " + ", ".join(f"named_metrics.{name}={value:.4f}" for name, value in report.items())


def decode_load(value: str) -> dict[str, float]:
    """The known metrics in a header value, without those that cannot be parsed; empty if the value has another form."""
    form, _, rest = value.partition(" ")
    if form != "TEXT":
        return {}
    report = {}
    for part in rest.split(","):
        name, _, text = part.strip().partition("=")
        name = name.removeprefix("named_metrics.")
        try:
            number = float(text)
        except ValueError:
            continue
        if name in METRIC_NAMES and 0 <= number < 1e6:
            report[name] = number
    return report
