"""Cases of an independent review, each with a test that fails; see REPORT.md."""
