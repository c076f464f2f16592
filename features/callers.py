"""Background load: threads that send requests while a scenario injects failures."""

import threading
import time

from standins import site

REQUEST_PAUSE_SECONDS = 0.01


class Callers:
    """Threads that send requests to one route of several instances until stopped.

    Args:
        deployment: The deployment.
        route: Route of the requests.
        numbers: Numbers of the instances to send to, one thread for each.

    Attributes:
        answers: Answers received so far by all threads.
        errors: Errors of the requests that received no answer.
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

    def _run(self, number: int) -> None:
        sent_count = 0
        while not self._stopping.is_set():
            sent_count += 1
            try:
                answer = self._deployment.send_query(number, self._route, f"question {sent_count}")
                self.answers.append(answer)
            except OSError as error:
                self.errors.append(str(error))
            time.sleep(REQUEST_PAUSE_SECONDS)
