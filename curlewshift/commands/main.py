"""The command line's root. A noun's file is imported when that noun is called (or helped with), and no other."""

from __future__ import annotations

from importlib import import_module

import click

# Each lies in the file of its name, under its name.
NOUNS = (
    "authority",
    "capacity",
    "capture",
    "check",
    "configuration",
    "control",
    "experiment",
    "front",
    "leases",
    "leavers",
    "limits",
    "measure",
    "node",
    "overload",
    "peak",
    "peers",
    "rehearse",
    "replay",
    "scale",
    "search",
    "shared",
    "slopes",
    "soak",
    "standin",
    "walk",
)


class Nouns(click.Group):
    def list_commands(self, context) -> list[str]:
        return list(NOUNS)

    def get_command(self, context, name: str) -> click.Command | None:
        return getattr(import_module(f"curlewshift.commands.{name}"), name) if name in NOUNS else None


@click.group(cls=Nouns, context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """A session front: places video sessions on streaming servers and shapes them there."""
