"""Entry point of a gateway process. Nothing else is loaded before the TLS library is kept out."""

from __future__ import annotations

import sys

from yewstage.net.without_tls import keep_tls_out


def main() -> int:
    """Run a gateway; returns its exit status."""
    keep_tls_out()
    from yewstage.net.process import main as run  # imports the modules that would load the TLS library

    return run()


if __name__ == "__main__":
    sys.exit(main())
