"""Entry point of `python -m hookpitch.cli`."""

from hookpitch.cli import main

main()
