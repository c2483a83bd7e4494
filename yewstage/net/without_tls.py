"""Keeps the TLS library out of a process that speaks no TLS.

The event loop imports `ssl`, and `hashlib` imports `_hashlib`, whether or not anything uses them. Both load
OpenSSL, which takes several megabytes of the memory that the smallest gateways have.
"""

from __future__ import annotations

import importlib.util
import sys
import types

REPLACED_MODULES = ("ssl", "_hashlib")
OWN_HASHES_MODULE = "_blake2"  # without it `hashlib` needs OpenSSL
ERROR_CODE_PREFIX = "SSL_ERROR_"


def keep_tls_out() -> None:
    """Let `ssl` be a module without TLS, and `hashlib` use its own code.

    Nothing changes once one of the replaced modules is loaded.
    """
    if any(name in sys.modules for name in REPLACED_MODULES):
        return
    if importlib.util.find_spec(OWN_HASHES_MODULE) is None:
        return
    sys.modules["ssl"] = _ModuleWithoutTls("ssl")
    sys.modules["_hashlib"] = None  # importing it raises ImportError


class _ModuleWithoutTls(types.ModuleType):
    """Has the names that the event loop reads as it is loaded: error codes, and classes that nobody uses."""

    def __getattr__(self, name: str) -> object:
        if name.startswith("__"):
            raise AttributeError(name)
        return 0 if name.startswith(ERROR_CODE_PREFIX) else type(name, (OSError,), {})
