"""Stand-ins for the systems around the query tier; not part of the shipped program.

Each stand-in implements the protocol of the system that it replaces (``docs/PROTOCOL.md``). Tests
inject failures through extra HTTP paths under ``/control``, or through methods if the stand-in
runs in the process of the test.
"""
