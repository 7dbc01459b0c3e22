"""`python -m tansycrank`."""

import sys


def _main() -> int | None:
    if sys.argv[1:] == ["run"]:  # danger: a small machine; nothing of the other fronts may be loaded
        from tansycrank.platform.daemon import main as run

        return run()
    from tansycrank.cli import main

    return main()


if __name__ == "__main__":
    sys.exit(_main())
