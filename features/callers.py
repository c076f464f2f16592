"""Callers that keep asking in the background while a scenario brings about failures."""

import threading
import time

from standins import site

PAUSE_SECONDS = 0.01


class Callers:
    """Threads that ask one route at some instances until stopped.

    Args:
        deployment: The deployment.
        route: Route to ask.
        numbers: Instances to ask, one thread for each.

    Attributes:
        answers: Answers so far, of all threads.
        errors: Requests that got no answer.
    """

    def __init__(self, deployment: site.Site, route: str, numbers: tuple[int, ...]):
        self.answers: list[dict] = []
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
        """Waits until ``count`` more answers have come."""
        wanted = len(self.answers) + len(self.errors) + count
        site.wait_until(
            lambda: len(self.answers) + len(self.errors) >= wanted, "the callers got no answers"
        )

    def stop(self) -> None:
        """Ends the threads after their present requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        asked = 0
        while not self._stopping.is_set():
            asked += 1
            try:
                answer = self._deployment.ask(number, self._route, f"question {asked}")
                self.answers.append(answer)
            except OSError as error:
                self.errors.append(str(error))
            time.sleep(PAUSE_SECONDS)
