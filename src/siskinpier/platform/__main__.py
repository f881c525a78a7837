"""Run one host on the platform.

A host answers no caller until its modules are loaded, so work that is slow and not
needed here is skipped.
"""

from ..signals import SIGNALS

# A signal that arrives while modules are loaded must not end the process.
SIGNALS.open()

import gc  # noqa: E402
import os  # noqa: E402

# Loading modules leaves no garbage to collect.
gc.disable()
# All connections here are plain HTTP, but a client library would load the system's
# certificates when it is imported.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from .process import main  # noqa: E402

main()
