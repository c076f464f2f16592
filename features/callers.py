"""Background load: threads that send requests while a scenario injects failures."""

import dataclasses
import json
import threading
import time

from standins import site

REQUEST_PAUSE_SECONDS = 0.01
# Messages of the log of an instance around a pause of its process, after which it is not ready.
PAUSED_MESSAGE = "the process was paused"
READY_MESSAGE = "ready"


@dataclasses.dataclass
class Pause:
    """A period in which the process of an instance was paused or not ready again.

    Attributes:
        instance: Number of the instance.
        start: Start of the period, in monotonic seconds.
        end: Time at which the instance was ready again; infinite if it was not.
    """

    instance: int
    start: float
    end: float = float("inf")


@dataclasses.dataclass
class AnsweredRequest:
    """A request of the callers and its answer.

    Attributes:
        instance: Number of the instance that it was sent to.
        sent_at: When it was sent, in monotonic seconds.
        ended_at: When it was answered.
        answer: The answer.
    """

    instance: int
    sent_at: float
    ended_at: float
    answer: dict

    def overlaps(self, pause: Pause) -> bool:
        """Returns whether a pause fell into the time of the request."""
        return pause.start <= self.ended_at and self.sent_at <= pause.end


class Callers:
    """Threads that send requests to one route of several instances until stopped.

    Args:
        deployment: The deployment.
        route: Route of the requests.
        numbers: Numbers of the instances to send to, one thread for each.

    Attributes:
        answers: Answers received so far by all threads.
        requests: The requests with these answers.
        errors: Errors of the requests that received no answer.
    """

    def __init__(self, deployment: site.Site, route: str, numbers: tuple[int, ...]):
        self.answers: list[dict] = []
        self.requests: list[AnsweredRequest] = []
        self.errors: list[str] = []
        self._deployment = deployment
        self._route = route
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True) for number in numbers
        ]
        for thread in self._threads:
            thread.start()

    def wait_for(self, count: int) -> None:
        """Waits until ``count`` more requests have ended, with an answer or an error."""
        target_count = len(self.answers) + len(self.errors) + count
        site.wait_until(
            lambda: len(self.answers) + len(self.errors) >= target_count,
            f"fewer than {count} more requests to route {self._route} have ended",
        )

    def stop(self) -> None:
        """Stops the threads after their current requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def accepted_answers(self) -> list[dict]:
        """Returns the answers without the refusals of instances that were not ready after a pause.

        A machine under other load may pause an instance. It must then refuse requests until it has
        current tables, and says so in its log.
        """
        pauses = self._read_pauses()
        return [
            request.answer
            for request in self.requests
            if request.answer["reason"] != "not_ready"
            or not any(
                pause.instance == request.instance and request.overlaps(pause) for pause in pauses
            )
        ]

    def _read_pauses(self) -> list[Pause]:
        """Returns the pauses that the instances have logged."""
        pauses = []
        for number in range(1, self._deployment.options.instances + 1):
            log = self._deployment.folder / f"node-{number}.log"
            pauses += read_pauses(number, log.read_text(encoding="utf-8").splitlines())
        return pauses

    def _run(self, number: int) -> None:
        sent_count = 0
        while not self._stopping.is_set():
            sent_count += 1
            sent_at = time.monotonic()
            try:
                answer = self._deployment.send_query(number, self._route, f"question {sent_count}")
                self.requests.append(AnsweredRequest(number, sent_at, time.monotonic(), answer))
                self.answers.append(answer)
            except OSError as error:
                self.errors.append(str(error))
            time.sleep(REQUEST_PAUSE_SECONDS)


def read_pauses(number: int, lines: list[str]) -> list[Pause]:
    """Returns the pauses of an instance according to the lines of its log."""
    pauses: list[Pause] = []
    for row in (json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")):
        if row["message"] == PAUSED_MESSAGE:
            pauses.append(Pause(number, row["at"] - row["seconds"]))
        elif row["message"] == READY_MESSAGE:
            for pause in pauses:
                pause.end = min(pause.end, row["at"])
    return pauses
