"""How a command ends after an error: with one line on standard error and exit code 2."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NoReturn

import click

EXIT_INVALID_INPUT = 2


def fail(text: str) -> NoReturn:
    """Print the text to standard error and exit."""
    click.echo(text, err=True)
    sys.exit(EXIT_INVALID_INPUT)


@contextmanager
def exit_on(*errors: type[Exception]) -> Iterator[None]:
    """Print the text of an error of one of these types, and exit."""
    try:
        yield
    except errors as error:
        fail(str(error))
