"""Entry point of ``python -m loomwind``."""

from loomwind.cli import main

if __name__ == "__main__":
    main()
