"""``python -m bench.run_faults``: plays seeds and prints what was found."""

from gevent import monkey

monkey.patch_all()

from bench.run_faults.command import main  # noqa: E402

if __name__ == "__main__":
    main(prog_name="python -m bench.run_faults")
