"""Query tier that fans each query out to very many shards.

The package holds the command line, the settings and the program's parts:
``core`` (records and decisions without I/O), ``policy`` (plug-ins), ``tables``
(routes and pools) and ``node`` (tasks that own sockets).
"""

__version__ = "0.1.0"
