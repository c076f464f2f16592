"""Stand-ins for the systems around the query tier; not part of the shipped program.

Each stand-in implements the protocol of the system that it replaces (``docs/PROTOCOL.md``).
``site`` runs a deployment with the native dialect, with ``config_service``, ``backends``, ``index``
and ``relay``; ``fleet`` runs one with the dialect of the users' platform, with ``store`` and
``shards``. Tests inject failures through extra HTTP paths under ``/control``, or through methods if
the stand-in runs in the process of the test.
"""
