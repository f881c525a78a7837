"""Run one host on the platform.

Until a host has loaded its modules, callers get no answer from it; so what costs time
and is not needed here is left out.
"""

import gc
import os

# Modules that load leave nothing to collect.
gc.disable()
# Every connection here is plain HTTP. A client library would read the machine's
# certificates as it loads.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from .process import main  # noqa: E402

main()
