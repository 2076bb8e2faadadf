"""`python -m hookpitch.simwire`: the decisions on the bench's wire, over standard input and
output."""

from hookpitch.simwire.adapter import main

main()
