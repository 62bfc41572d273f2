"""``python -m bench.soak``: one randomised soak run; see :mod:`bench.soak.command`."""

from gevent import monkey

monkey.patch_all()

from bench.soak.command import main  # noqa: E402

if __name__ == "__main__":
    main(prog_name="python -m bench.soak")
