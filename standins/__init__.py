"""Stand-ins for the systems around the query tier; not shipped.

Each follows the published protocol of what it stands for (``docs/PROTOCOL.md``) and
has extra addresses under ``/control`` by which tests bring about failures.
"""
