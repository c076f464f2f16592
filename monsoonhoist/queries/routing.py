"""Lookup of the route of a request by its host and path."""

from collections.abc import Iterable

from monsoonhoist.core import data


class RouteIndex:
    """Finds the route whose path prefix is the longest that matches a path.

    Args:
        routes: The routes; those without a ``match`` are ignored.
    """

    def __init__(self, routes: Iterable[data.Route] = ()):
        self._route_by_match: dict[data.PathMatch, data.Route] = {
            route.match: route for route in routes if route.match is not None
        }

    def find(self, host: str, path: str) -> data.Route | None:
        """Returns the route of a request, or None if no route matches.

        Only prefixes that end with a slash are considered.

        Args:
            host: Value of the request's ``Host`` header.
            path: Path of the URL, without the query string.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._route_by_match.get(data.PathMatch(host, path[: end + 1]))
            if route is not None:
                return route
        return None
