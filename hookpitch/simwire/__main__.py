"""`python -m hookpitch.simwire`: routes RPCs for the simulator over standard input and output."""

from hookpitch.simwire.adapter import main

main()
