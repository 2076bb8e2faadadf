"""hookpitch: a client-side router for fleets of cache servers."""
