"""Entry point of `python -m tansycrank`."""

import os
import signal
import sys


def _main() -> int | None:
    # `run` may be used on a machine with little memory: it must not load the SQL router or the CLI.
    if sys.argv[1:] == ["run"]:
        # Until the daemon handles SIGHUP, a reload is not needed: the configuration was not read.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # No request has been accepted yet, so the process may exit at once.
        signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
        from tansycrank.http_router.daemon import main as run

        return run()
    from tansycrank.cli import main

    return main()


if __name__ == "__main__":
    sys.exit(_main())
