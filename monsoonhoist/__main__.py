"""Entry point for ``python -m monsoonhoist``."""

from monsoonhoist import cli

cli.main()
