"""Command line entry point: ``python -m camphorchute``."""

from camphorchute.cli.main import main

if __name__ == "__main__":
    main(prog_name="camphorchute")
