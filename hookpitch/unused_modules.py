"""Keeps modules out of the process that its dependencies import but a node does not use.

Twisted and structlog import TLS, OpenSSL's hashes and a formatter of tracebacks where they find
them, and do without where they do not. Twisted also re-exports a module of HTTP cookies, which
imports the standard library's HTTP client and mail parser. Together these take a third of the least
memory that a node may be given.
"""

from __future__ import annotations

import sys
from types import ModuleType

ABSENT_MODULES = ("ssl", "_ssl", "_hashlib", "rich")
REEXPORTED_MODULES = ("http.cookiejar",)  # imported by name, so they have to exist


def leave_out_unused_modules() -> None:
    """Replace the unused modules, unless they have been imported already."""
    for name in ABSENT_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    for name in REEXPORTED_MODULES:
        package = __import__(name.partition(".")[0])
        module = sys.modules.setdefault(name, ModuleType(name))
        setattr(package, name.rpartition(".")[2], module)
