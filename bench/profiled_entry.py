"""An entry process that samples where its processor time goes: ``python -m bench.profiled_entry``.

It takes the arguments of the program. When it ends, it writes the profile to a file that is named
after its process id, in the folder that the environment variable ``PROFILE_FOLDER`` names. A
profiler that counts calls is of no use here, since it attributes the time of one greenlet to the
functions of another.
"""

from gevent import monkey

monkey.patch_all()

import atexit  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
from collections import Counter  # noqa: E402
from pathlib import Path  # noqa: E402
from types import FrameType  # noqa: E402

from camphorchute.cli.main import main  # noqa: E402

PROFILE_FOLDER = "PROFILE_FOLDER"
SAMPLE_INTERVAL_S = 0.004  # the kernel counts processor time in ticks of this length
TOP_FUNCTIONS = 70


class Profile:
    """Samples of the functions that are on the stack while processor time is used.

    Attributes:
        samples: number of samples.
        own: number of samples by the function that ran.
        cumulative: number of samples by each function on the stack.
        roots: number of samples by the function that the greenlet runs.
    """

    __slots__ = ("samples", "own", "cumulative", "roots")

    def __init__(self) -> None:
        self.samples = 0
        self.own: Counter[str] = Counter()
        self.cumulative: Counter[str] = Counter()
        self.roots: Counter[str] = Counter()

    def start(self) -> None:
        """Start sampling."""
        signal.signal(signal.SIGPROF, self._sample)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)

    def write(self, path: Path) -> None:
        """Stop sampling and write the functions with the most samples.

        Args:
            path: the file to write.
        """
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        lines = [f"samples {self.samples}, {SAMPLE_INTERVAL_S * 1000:.0f} ms each"]
        titles = ("roots", "own", "cumulative")
        for title, counts in zip(titles, (self.roots, self.own, self.cumulative), strict=True):
            lines.append(title)
            lines += [
                f"{count / max(1, self.samples):7.1%}  {name}"
                for name, count in counts.most_common(TOP_FUNCTIONS)
            ]
        path.write_text("\n".join(lines) + "\n")

    def _sample(self, signal_number: int, frame: FrameType | None) -> None:
        self.samples += 1
        names = []
        while frame is not None:
            code = frame.f_code
            module = "/".join(code.co_filename.rsplit("/", 2)[-2:])
            names.append(f"{module}:{code.co_name}")
            frame = frame.f_back
        if names:
            self.own[names[0]] += 1
            self.roots["/".join(names[-3:])] += 1
            self.cumulative.update(set(names))


if __name__ == "__main__":
    profile = Profile()
    atexit.register(profile.write, Path(os.environ[PROFILE_FOLDER], str(os.getpid())))
    profile.start()
    main()
