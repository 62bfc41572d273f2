"""Entry point of ``python -m bench.standins``, which runs stand-ins."""

from gevent import monkey

monkey.patch_all()

from bench.standins.command import main  # noqa: E402

if __name__ == "__main__":
    main(prog_name="python -m bench.standins")
