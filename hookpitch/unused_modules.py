"""Keeps modules out of the process that its dependencies import but a node does not use.

Twisted and structlog import TLS, OpenSSL's hashes and a formatter of tracebacks where they find
them, and do without where they do not. A node needs none of them, and they take 5 to 9 MB: a sixth
and more of the least memory that a node may be given.
"""

from __future__ import annotations

import sys

UNUSED_MODULES = ("ssl", "_ssl", "_hashlib", "rich")


def leave_out_unused_modules() -> None:
    """Make imports of the unused modules fail, unless they have been imported already."""
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
