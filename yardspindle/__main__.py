"""Runs the command line: `python -m yardspindle`."""

from yardspindle.cli.main import main

if __name__ == "__main__":
    main()
