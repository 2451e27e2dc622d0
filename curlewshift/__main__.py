"""`python -m curlewshift`: the command line."""

from curlewshift.cli import main

if __name__ == "__main__":
    main()
