"""`python -m yardspindle`: the command line."""

from yardspindle.cli.main import main

if __name__ == "__main__":
    main()
