"""How commands end where something is wrong: one line on standard error, and exit code 2."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NoReturn

import click

EXIT_WRONG_INPUT = 2


def fail(text: str) -> NoReturn:
    """Print the text and exit."""
    click.echo(text, err=True)
    sys.exit(EXIT_WRONG_INPUT)


@contextmanager
def exit_on(*errors: type[Exception]) -> Iterator[None]:
    """Print such an error's text and exit."""
    try:
        yield
    except errors as error:
        fail(str(error))
