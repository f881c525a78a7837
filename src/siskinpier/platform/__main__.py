"""Run one host on the platform.

A host answers no caller until its modules are loaded, so work that is slow and not
needed here is skipped.
"""

from ..signals import SIGNALS

# A signal that arrives while modules are loaded must not end the process.
SIGNALS.open()

import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

# Loading modules leaves no garbage to collect.
gc.disable()
# All connections here are plain HTTP, but a client library would load the system's
# certificates when it is imported.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
# The module path leads over a link that a build may replace while the host runs; all
# modules must come from the same build.
sys.path[:] = map(os.path.realpath, sys.path)
for name in ("siskinpier", "siskinpier.platform"):
    package = sys.modules[name]
    package.__path__ = [os.path.realpath(path) for path in package.__path__]

from .process import main  # noqa: E402

main()
