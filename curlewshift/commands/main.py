"""Root of the command line. The module of a command is imported only when that command or its help is requested."""

from __future__ import annotations

from importlib import import_module

import click

# Each command is defined in the module of the same name, as an object of the same name.
COMMANDS = (
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


class CommandGroup(click.Group):
    def list_commands(self, context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, context, name: str) -> click.Command | None:
        return getattr(import_module(f"curlewshift.commands.{name}"), name) if name in COMMANDS else None


@click.group(cls=CommandGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """A session front: places video sessions on streaming servers and adapts their quality layers."""
