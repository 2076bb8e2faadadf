"""The node's core: no input or output, no clock. Times are told by the caller, in float
milliseconds."""
