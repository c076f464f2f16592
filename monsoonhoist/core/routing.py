"""Choice of the route that a request is for, by host and path."""

from collections.abc import Iterable

from monsoonhoist.core import data


class RouteIndex:
    """Finds the route with the longest prefix that begins a path.

    Args:
        routes: Routes; those without a ``match`` are left out.
    """

    def __init__(self, routes: Iterable[data.Route] = ()):
        self._route_by_match: dict[data.PathMatch, data.Route] = {
            route.match: route for route in routes if route.match is not None
        }

    def find(self, host: str, path: str) -> data.Route | None:
        """Returns the route of a request, or None.

        Args:
            host: Host that the request names.
            path: Path without the query.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._route_by_match.get(data.PathMatch(host, path[: end + 1]))
            if route is not None:
                return route
        return None
