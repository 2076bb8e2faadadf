"""All decisions of one client-side router, without I/O and without a clock.

`router.Router` takes inputs and hands decisions to a host; `interface` has the types that the two
exchange. Each other module holds one concern of the decisions, with its state, invariants and
units.
"""
