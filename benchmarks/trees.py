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
    "listener": "net.client_listener",
    "core": "net.core",
    "config": "net.config",
}
# Modules that were a part of another one in earlier revisions.
FORMER_MODULES = {"net.client_listener": "net.clients"}


def load(folder: Path) -> SimpleNamespace:
    """Import the modules of the program from a folder, separate from those of any other folder.

    RuntimeError if they were imported from elsewhere.
    """
    _remove_imported_modules()
    sys.path.insert(0, str(folder))
    try:
        tree = SimpleNamespace(**{attribute: _import(name) for attribute, name in MODULES.items()})
    finally:
        sys.path.remove(str(folder))
        _remove_imported_modules()
    _check_origin(tree.policy, folder)
    return tree


def _import(name: str) -> ModuleType:
    """Import a module of the program, under the name that it has in that revision."""
    try:
        return importlib.import_module(f"{PACKAGE}.{name}")
    except ModuleNotFoundError:
        if name not in FORMER_MODULES:
            raise
        return importlib.import_module(f"{PACKAGE}.{FORMER_MODULES[name]}")


def _remove_imported_modules() -> None:
    for name in [n for n in sys.modules if n == PACKAGE or n.startswith(f"{PACKAGE}.")]:
        del sys.modules[name]


def _check_origin(module: ModuleType, folder: Path) -> None:
    """Check where a module is from; one of the other tree would be compared with itself."""
    if not Path(module.__file__).is_relative_to(folder):
        raise RuntimeError(f"{module.__file__} was not imported from {folder}")


@contextmanager
def revision(name: str) -> Iterator[Path]:
    """Unpack the program of a revision into a temporary folder."""
    archive = subprocess.run(
        ["git", "archive", "--format=tar", name, PACKAGE], cwd=ROOT, check=True, stdout=subprocess.PIPE
    ).stdout
    with TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
            tar.extractall(folder, filter="data")
        yield Path(folder).resolve()
