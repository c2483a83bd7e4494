"""Entry point of `python -m plumwall`."""

from plumwall.cli.main import main

if __name__ == "__main__":
    main()
