"""Two revisions of the program side by side in one process."""

from __future__ import annotations

import importlib
import io
import subprocess
import sys
import tarfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from types import ModuleType, SimpleNamespace

ROOT = Path(__file__).parent.parent
PACKAGE = "yewstage"
MODULES = {
    "api": "interface",
    "policy": "policy",
    "clients": "net.clients",
    "core": "net.core",
    "config": "net.config",
}


def load(folder: Path) -> SimpleNamespace:
    """The modules of the program in a folder, apart from those of any other folder."""
    _forget()
    sys.path.insert(0, str(folder))
    try:
        tree = SimpleNamespace(
            **{short: importlib.import_module(f"{PACKAGE}.{name}") for short, name in MODULES.items()}
        )
    finally:
        sys.path.remove(str(folder))
        _forget()
    _check(tree.policy, folder)
    return tree


def _forget() -> None:
    for name in [n for n in sys.modules if n == PACKAGE or n.startswith(f"{PACKAGE}.")]:
        del sys.modules[name]


def _check(module: ModuleType, folder: Path) -> None:
    """A module of another folder would be compared with itself."""
    if not Path(module.__file__).is_relative_to(folder):
        raise RuntimeError(f"{module.__file__} is not in {folder}")


@contextmanager
def revision(name: str) -> Iterator[Path]:
    """A folder with the program as it was at a revision."""
    packed = subprocess.run(
        ["git", "archive", "--format=tar", name, PACKAGE], cwd=ROOT, check=True, stdout=subprocess.PIPE
    ).stdout
    with TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(packed)) as tar:
            tar.extractall(folder, filter="data")
        yield Path(folder).resolve()
