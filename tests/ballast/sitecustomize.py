"""Makes a process hold more memory at rest, as on another kind of machine: BALLAST_MB in the environment."""

import os

ballast = b"x" * int(float(os.environ.get("BALLAST_MB", "0")) * 2**20)
