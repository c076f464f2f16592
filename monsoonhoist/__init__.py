"""Query tier that fans each query out over a large number of shards.

The package contains the command line, the settings and the parts of the program: ``core``
(records and decision logic, without I/O), ``policy`` (plug-ins), ``tables`` (routes and pools),
``node`` (tasks that own sockets) and ``platform`` (adapters to the users' platform).
"""

__version__ = "0.1.0"
