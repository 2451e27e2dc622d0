"""`python -m curlewshift`: the command line."""

from curlewshift.commands.main import main

if __name__ == "__main__":
    main()
