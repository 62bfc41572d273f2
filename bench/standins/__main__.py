"""``python -m bench.standins``: run a stand-in."""

from gevent import monkey

monkey.patch_all()

from bench.standins.command import main  # noqa: E402

if __name__ == "__main__":
    main(prog_name="python -m bench.standins")
