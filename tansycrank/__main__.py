"""`python -m tansycrank`."""

import os
import signal
import sys


def _main() -> int | None:
    if sys.argv[1:] == [
        "run"
    ]:  # danger: a small machine; nothing of the other fronts may be loaded
        signal.signal(
            signal.SIGHUP, signal.SIG_IGN
        )  # till the daemon hears it: the file is not read yet
        signal.signal(signal.SIGTERM, lambda *_: os._exit(0))  # nothing is taken yet
        from tansycrank.http_router.daemon import main as run

        return run()
    from tansycrank.cli import main

    return main()


if __name__ == "__main__":
    sys.exit(_main())
