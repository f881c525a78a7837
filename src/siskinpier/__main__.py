"""Entry point of `python -m siskinpier`."""

from .cli import main

if __name__ == "__main__":
    main()
