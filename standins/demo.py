"""Demonstration: starts the example deployment of the club, sends a query and prints the answer.

Usage: ``python -m standins.demo``.
"""

from monsoonhoist import client
from monsoonhoist.core import data
from standins import site


def main() -> None:
    """Runs the demonstration and stops all its processes."""
    deployment = site.Site(site.SiteOptions())
    try:
        deployment.start()
        request = data.Request(query="coxed four, Saturday 07:30", limit=5)
        answer = client.Client(deployment.url(1)).send_query(data.RouteId("slot-finder"), request)
        print("Bootplan, route slot-finder: coxed four, Saturday 07:30")
        print(client.render_answer(answer))
    finally:
        deployment.stop()


if __name__ == "__main__":
    main()
