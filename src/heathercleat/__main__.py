"""Run the command line as ``python -m heathercleat``."""

from heathercleat.cli import main

if __name__ == "__main__":
    main()
