"""Client for the workers of the fleet platform, which support fencing tokens and leases."""

import msgspec

from camphorchute.hosting.worker_client import (
    CommandRefused,
    CommandUnanswered,
    ListedRun,
    RefusalReason,
    RunCompletion,
    RunListing,
    RunOutcome,
    StartCommand,
    WorkerClient,
)
from camphorchute.hosting.worker_entry import WorkerEntry
from camphorchute.observation_clock import observation_clock
from camphorchute.platform import fleet_messages as messages
from camphorchute.workers.answer_times import AnswerTimes
from camphorchute.workers.http_channel import (
    AnswerLost,
    HttpAnswer,
    HttpChannel,
    NotSent,
    RequestHead,
)

__all__ = ["FencedWorker"]

COMMAND_TIMEOUT_MS = 120.0
CONNECT_TIMEOUT_MS = 150.0
MAX_IDLE_CONNECTIONS = 4
MS_PER_S = 1000.0
HTTP_OK = 200
COMPLETIONS_PER_LIST_MAX = 500
EXPECTED_WORKER_HEADER = "Camphorchute-Expect-Instance"
COMMAND_PATHS = ("/run-start", "/run-stop", "/hold")

_encoder = msgspec.json.Encoder()
_clock_decoder = msgspec.json.Decoder(messages.Clock)
_runs_decoder = msgspec.json.Decoder(messages.Runs)

_REASONS_BY_NAME = {
    "fence": RefusalReason.FENCED,
    "old": RefusalReason.OLD_RUN,
    "late": RefusalReason.TOO_LATE,
    "room": RefusalReason.NO_ROOM,
}
_REASONS_BY_STATUS = {
    400: RefusalReason.MALFORMED,
    404: RefusalReason.MALFORMED,
    421: RefusalReason.OTHER_INCARNATION,
    429: RefusalReason.UNHEALTHY,
    503: RefusalReason.UNHEALTHY,
}
_OUTCOMES_BY_NAME = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LEASE_EXPIRED,
    "broken": RunOutcome.GANG_ENDED,
    "alone": RunOutcome.GANG_INCOMPLETE,
}


class FencedWorker(WorkerClient):
    """A client for one incarnation of a worker.

    Args:
        entry: entry of the worker in service discovery.
        answer_times: how long workers take to answer, shared by the clients of one process.
    """

    def __init__(self, entry: WorkerEntry, answer_times: AnswerTimes | None = None) -> None:
        self._answer_times = answer_times or AnswerTimes(COMMAND_TIMEOUT_MS)
        self._incarnation = entry.incarnation
        self._channel = HttpChannel(entry.address, MAX_IDLE_CONNECTIONS, CONNECT_TIMEOUT_MS)
        headers = {
            "Content-Type": "application/json",
            EXPECTED_WORKER_HEADER: entry.worker_id,
        }
        self._start_head, self._stop_head, self._poll_head = (
            self._channel.prepare("POST", path, headers) for path in COMMAND_PATHS
        )

    def start_run(self, command: StartCommand, fencing_token: int, lease_until_ms: float) -> float:
        """Start a run and return the reading of the worker's clock in milliseconds."""
        body = messages.RunStart(
            command.task, command.run, command.payload, int(lease_until_ms), fencing_token
        )
        return self._read_clock_ms(self._send_command(self._start_head, body, _clock_decoder))

    def stop_run(self, task: str, run: int, fencing_token: int) -> float:
        """Stop a run and return the reading of the worker's clock in milliseconds."""
        body = messages.RunStop(task, run, fencing_token)
        return self._read_clock_ms(self._send_command(self._stop_head, body, _clock_decoder))

    def renew_and_list(
        self, fencing_token: int, acknowledged: int, lease_until_ms: float | None, wait_ms: float
    ) -> RunListing:
        """Renew the leases of all runs of the worker and list its runs and completions."""
        body = messages.Hold(fencing_token, acknowledged, int(wait_ms))
        if lease_until_ms is not None:
            body.deadline_ms = int(lease_until_ms)
        runs = self._send_command(self._poll_head, body, _runs_decoder, wait_ms)
        if self._is_other_incarnation(runs.born):
            raise CommandRefused(
                RefusalReason.OTHER_INCARNATION,
                f"incarnation {runs.born}, expected {self._incarnation}",
            )
        try:
            running = [ListedRun(row[0], row[1]) for row in runs.running]
            completions = [
                RunCompletion(row[0], row[1], row[2], _OUTCOMES_BY_NAME[row[3]])
                for row in runs.ended
            ]
        except (IndexError, KeyError) as error:
            raise CommandUnanswered(f"malformed list of runs: {error!r}") from error
        is_complete = len(completions) < COMPLETIONS_PER_LIST_MAX
        return RunListing(runs.clock_ms, running, completions, is_complete)

    def close(self) -> None:
        """Close the idle connections to the worker."""
        self._channel.close()

    def _is_other_incarnation(self, born: int) -> bool:
        """Whether an answer says that it is from another incarnation of the worker."""
        return bool(self._incarnation and born) and born != self._incarnation

    def _read_clock_ms(self, answer: messages.Clock) -> float:
        """Return the reading of the clock in the answer to a command.

        Raises:
            CommandUnanswered: another incarnation has executed the command.
        """
        if self._is_other_incarnation(answer.born):
            raise CommandUnanswered(f"incarnation {answer.born}, expected {self._incarnation}")
        return answer.clock_ms

    def _send_command(
        self,
        head: RequestHead,
        body: messages.Wire,
        decoder: msgspec.json.Decoder,
        wait_ms: float = 0.0,
    ) -> object:
        """Send a command and return the decoded answer.

        Args:
            head: head of the request.
            body: message of the command.
            decoder: decodes the answer.
            wait_ms: longest time that the worker waits before it answers.

        Raises:
            CommandRefused: the worker refused the command.
            CommandUnanswered: it is not known whether the worker executed the command, or the
                command was not sent.
        """
        timeout_ms = self._answer_times.timeout_ms() + wait_ms
        sent_s = observation_clock.now_s()
        try:
            answer = self._channel.exchange_prepared(head, _encoder.encode(body), timeout_ms)
        except NotSent as error:
            raise CommandUnanswered(str(error), sent=False) from error
        except AnswerLost as error:
            raise CommandUnanswered(str(error)) from error
        if not wait_ms:
            self._answer_times.record((observation_clock.now_s() - sent_s) * MS_PER_S)
        if answer.status != HTTP_OK:
            raise _command_error(answer)
        try:
            return decoder.decode(answer.body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise CommandUnanswered(f"malformed answer: {error}") from error


def _command_error(answer: HttpAnswer) -> Exception:
    """Return the error for a status other than 200; only known refusals prove no effect."""
    if answer.status in _REASONS_BY_STATUS:
        return CommandRefused(_REASONS_BY_STATUS[answer.status], str(answer.status))
    try:
        reason = msgspec.json.decode(answer.body, type=messages.Rejected).reason
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        reason = ""
    if reason in _REASONS_BY_NAME:
        return CommandRefused(_REASONS_BY_NAME[reason], reason)
    return CommandUnanswered(f"HTTP status {answer.status}, expected 200: {answer.body[:100]!r}")
